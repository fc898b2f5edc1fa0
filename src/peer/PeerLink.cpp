#include "peer/PeerLink.h"

#include "peer/MessageCodec.h"
#include "peer/SocketAddress.h"
#include "runtime/EventLoop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <vector>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace sycamoreward {

namespace {

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;

// The connection is closed when the peer leaves more than this unread.
constexpr std::size_t kMaxSendBufferBytes = 8 * 1024 * 1024;
constexpr std::size_t kReadChunkBytes = 64 * 1024;

// Disables the logging of websocketpp, which writes to standard output by
// default.
template<typename Endpoint>
Endpoint&
SilentEndpoint()
{
  static Endpoint endpoint;
  static const bool kReady = [] {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    return true;
  }();
  (void)kReady;
  return endpoint;
}

template<typename Endpoint>
class WebSocketLink final : public PeerLink
{
public:
  WebSocketLink(EventLoop& aLoop,
                std::shared_ptr<LinkTraffic> aTraffic,
                Callbacks aCallbacks)
    : loop_(aLoop)
    , traffic_(std::move(aTraffic))
    , callbacks_(std::move(aCallbacks))
    , lastReceived_(aLoop.GetClock().Now())
  {
  }
  WebSocketLink(const WebSocketLink&) = delete;
  WebSocketLink& operator=(const WebSocketLink&) = delete;
  ~WebSocketLink() override { Release(); }

  void Connect(const Address& aAddress)
  {
    OpenTransport(-1);
    sockaddr_storage storage{};
    const socklen_t length = FillSocketAddress(aAddress, storage);
    if (bufferevent_socket_connect(transport_,
                                   reinterpret_cast<sockaddr*>(&storage),
                                   int(length)) != 0) {
      Fail("not connected");
      return;
    }
    uri_ = "ws://" + ToString(aAddress) + "/peer";
    SetNoDelay();
  }

  void Accept(int aSocket)
  {
    OpenTransport(aSocket);
    SetNoDelay();
    StartSession();
  }

  bool SendFrame(const std::string& aFrame) override
  {
    if (isClosed_ || session_ == nullptr) {
      return false;
    }
    // Checked before the frame is added, so that a frame larger than the limit
    // can still be sent when the peer reads fast enough.
    if (evbuffer_get_length(bufferevent_get_output(transport_)) >
        kMaxSendBufferBytes) {
      Fail("send buffer full");
      return false;
    }
    if (session_->send(aFrame, websocketpp::frame::opcode::binary)) {
      Fail("not connected");
      return false;
    }
    ++traffic_->framesSent_;
    return true;
  }

  void Ping() override
  {
    if (!isClosed_ && session_ != nullptr) {
      websocketpp::lib::error_code ignored;
      session_->ping("", ignored);
    }
  }

  void Close() override
  {
    callbacks_.onClosed_ = nullptr;
    Fail("closed");
  }

  MonotonicTime LastReceived() const override { return lastReceived_; }

private:
  using Session = typename Endpoint::connection_type;

  void OpenTransport(int aSocket)
  {
    transport_ = bufferevent_socket_new(
      loop_.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(transport_, &OnReadable, nullptr, &OnEvent, this);
    bufferevent_enable(transport_, EV_READ | EV_WRITE);
  }

  void SetNoDelay()
  {
    const int on = 1;
    setsockopt(
      bufferevent_getfd(transport_), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }

  void StartSession()
  {
    auto& endpoint = SilentEndpoint<Endpoint>();
    websocketpp::lib::error_code error;
    if constexpr (std::is_same_v<Endpoint, ClientEndpoint>) {
      session_ = endpoint.get_connection(uri_, error);
    } else {
      session_ = endpoint.get_connection();
    }
    if (session_ == nullptr || error) {
      Fail("not connected");
      return;
    }
    SetHandlers();
    if constexpr (std::is_same_v<Endpoint, ClientEndpoint>) {
      endpoint.connect(session_);
    } else {
      session_->start();
    }
  }

  void SetHandlers()
  {
    session_->set_max_message_size(kMaxFrameSize.Value());
    session_->set_write_handler(
      [this](websocketpp::connection_hdl,
             const char* aData,
             std::size_t aSize) { return Write(aData, aSize); });
    session_->set_shutdown_handler([this](websocketpp::connection_hdl) {
      Fail("connection closed");
      return websocketpp::lib::error_code();
    });
    session_->set_open_handler([this](websocketpp::connection_hdl) {
      if (!isClosed_ && callbacks_.onOpen_) {
        callbacks_.onOpen_();
      }
    });
    session_->set_message_handler([this](websocketpp::connection_hdl,
                                         typename Session::message_ptr aFrame) {
      ++traffic_->framesReceived_;
      if (!isClosed_ && callbacks_.onFrame_) {
        callbacks_.onFrame_(std::move(aFrame->get_raw_payload()));
      }
    });
    const auto failed = [this](websocketpp::connection_hdl) {
      Fail("connection closed");
    };
    session_->set_fail_handler(failed);
    session_->set_close_handler(failed);
  }

  websocketpp::lib::error_code Write(const char* aData, std::size_t aSize)
  {
    if (isClosed_) {
      return make_error_code(websocketpp::transport::error::pass_through);
    }
    evbuffer_add(bufferevent_get_output(transport_), aData, aSize);
    traffic_->bytesSent_ += aSize;
    return {};
  }

  static void OnReadable(bufferevent* /*aTransport*/, void* aSelf)
  {
    auto* self = static_cast<WebSocketLink*>(aSelf);
    // A callback may release the last other reference to this link.
    const auto keep = self->shared_from_this();
    evbuffer* input = bufferevent_get_input(self->transport_);
    std::vector<char> chunk(
      std::min(kReadChunkBytes, evbuffer_get_length(input)));
    while (!self->isClosed_ && evbuffer_get_length(input) > 0) {
      const int count = evbuffer_remove(input, chunk.data(), chunk.size());
      if (count <= 0) {
        return;
      }
      self->lastReceived_ = self->loop_.GetClock().Now();
      self->traffic_->bytesReceived_ += std::uint64_t(count);
      if (self->session_ != nullptr) {
        self->session_->read_all(chunk.data(), std::size_t(count));
      }
    }
  }

  static void OnEvent(bufferevent* /*aTransport*/, short aEvents, void* aSelf)
  {
    auto* self = static_cast<WebSocketLink*>(aSelf);
    const auto keep = self->shared_from_this();
    if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
      self->SetNoDelay();
      self->StartSession();
    } else {
      self->Fail(self->session_ == nullptr ? "not connected"
                                           : "connection broken");
    }
  }

  // Stops all traffic immediately. Calls onClosed_ and frees the connection
  // later, since websocketpp or libevent may be on the call stack.
  void Fail(const char* aReason)
  {
    if (isClosed_) {
      return;
    }
    isClosed_ = true;
    if (transport_ != nullptr) {
      bufferevent_disable(transport_, EV_READ | EV_WRITE);
    }
    loop_.Post([self = shared_from_this(), reason = std::string(aReason)] {
      auto* link = static_cast<WebSocketLink*>(self.get());
      link->Release();
      auto onClosed = std::move(link->callbacks_.onClosed_);
      link->callbacks_ = {};
      if (onClosed) {
        onClosed(reason);
      }
    });
  }

  void Release()
  {
    isClosed_ = true;
    if (session_ != nullptr) {
      auto session = std::move(session_);
      session_ = nullptr;
      // websocketpp holds a reference to the session in its pending read, which
      // is released by signalling the end of input.
      session->eof();
      session->set_write_handler(nullptr);
      session->set_shutdown_handler(nullptr);
      session->set_open_handler(nullptr);
      session->set_message_handler(nullptr);
      session->set_fail_handler(nullptr);
      session->set_close_handler(nullptr);
    }
    if (transport_ != nullptr) {
      bufferevent_free(transport_);
      transport_ = nullptr;
    }
  }

  EventLoop& loop_;
  std::shared_ptr<LinkTraffic> traffic_;
  Callbacks callbacks_;
  MonotonicTime lastReceived_;
  bufferevent* transport_ = nullptr;
  typename Endpoint::connection_ptr session_;
  std::string uri_;
  bool isClosed_ = false;
};

} // namespace

std::shared_ptr<PeerLink>
ConnectLink(EventLoop& aLoop,
            const Address& aAddress,
            std::shared_ptr<LinkTraffic> aTraffic,
            PeerLink::Callbacks aCallbacks)
{
  auto link = std::make_shared<WebSocketLink<ClientEndpoint>>(
    aLoop, std::move(aTraffic), std::move(aCallbacks));
  link->Connect(aAddress);
  return link;
}

std::shared_ptr<PeerLink>
AcceptLink(EventLoop& aLoop,
           int aSocket,
           std::shared_ptr<LinkTraffic> aTraffic,
           PeerLink::Callbacks aCallbacks)
{
  auto link = std::make_shared<WebSocketLink<ServerEndpoint>>(
    aLoop, std::move(aTraffic), std::move(aCallbacks));
  link->Accept(aSocket);
  return link;
}

} // namespace sycamoreward
