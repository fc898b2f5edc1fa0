#include "support/CuttableLink.h"

#include "runtime/EventLoop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>

#include <cstring>
#include <list>

namespace sycamoreward {

namespace {

sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port_);
  inet_pton(AF_INET, aAddress.ip_.c_str(), &address.sin_addr);
  return address;
}

} // namespace

struct CuttableLink::State
{
  // An accepted connection and the corresponding connection to the target.
  struct Pair
  {
    State* owner_ = nullptr;
    bufferevent* near_ = nullptr;
    bufferevent* far_ = nullptr;
    bool isSilent_ = false;
  };

  State(EventLoop& aLoop, const Address& aTarget)
    : loop_(aLoop)
    , target_(aTarget)
  {
    Listen(Address{ "127.0.0.1", 0 });
  }

  ~State()
  {
    CloseAll();
    if (listener_ != nullptr) {
      evconnlistener_free(listener_);
    }
  }

  void Listen(const Address& aAddress)
  {
    sockaddr_in address = ToSockaddr(aAddress);
    listener_ = evconnlistener_new_bind(
      loop_.Base(),
      [](evconnlistener*, evutil_socket_t aFd, sockaddr*, int, void* aSelf) {
        static_cast<State*>(aSelf)->Accept(aFd);
      },
      this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      -1,
      reinterpret_cast<sockaddr*>(&address),
      sizeof address);
    socklen_t length = sizeof address;
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&address),
                &length);
    listen_ = Address{ "127.0.0.1", ntohs(address.sin_port) };
  }

  void Accept(evutil_socket_t aFd)
  {
    auto& pair = pairs_.emplace_back();
    pair.owner_ = this;
    pair.isSilent_ = mode_ == LinkMode::SilenceAll;
    pair.near_ = bufferevent_socket_new(
      loop_.Base(), aFd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    pair.far_ = bufferevent_socket_new(
      loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    for (bufferevent* end : { pair.near_, pair.far_ }) {
      bufferevent_setcb(end, &State::OnRead, nullptr, &State::OnEvent, &pair);
      bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    sockaddr_in address = ToSockaddr(target_);
    bufferevent_socket_connect(
      pair.far_, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }

  static void OnRead(bufferevent* aFrom, void* aPair)
  {
    auto* pair = static_cast<Pair*>(aPair);
    const bool isReply = aFrom == pair->far_;
    evbuffer* input = bufferevent_get_input(aFrom);
    const LinkMode mode = pair->owner_->mode_;
    if (pair->isSilent_ || mode == LinkMode::SilenceAll ||
        (isReply && mode == LinkMode::DropReplies)) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    bufferevent_write_buffer(isReply ? pair->near_ : pair->far_, input);
  }

  static void OnEvent(bufferevent* aFrom, short aEvents, void* aPair)
  {
    auto* pair = static_cast<Pair*>(aPair);
    if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    if (pair->isSilent_) {
      // The close must not be forwarded to the other side.
      bufferevent_disable(aFrom, EV_READ | EV_WRITE);
      return;
    }
    pair->owner_->Close(pair);
  }

  void Close(Pair* aPair)
  {
    bufferevent_flush(aPair->near_, EV_WRITE, BEV_FLUSH);
    bufferevent_free(aPair->near_);
    bufferevent_free(aPair->far_);
    pairs_.remove_if([&](const Pair& aOther) { return &aOther == aPair; });
  }

  void CloseAll()
  {
    while (!pairs_.empty()) {
      Close(&pairs_.front());
    }
  }

  EventLoop& loop_;
  Address target_;
  Address listen_;
  evconnlistener* listener_ = nullptr;
  LinkMode mode_ = LinkMode::Pass;
  std::list<Pair> pairs_;
};

CuttableLink::CuttableLink(EventLoop& aLoop, const Address& aTarget)
  : state_(std::make_unique<State>(aLoop, aTarget))
{
}

CuttableLink::~CuttableLink() = default;

const Address&
CuttableLink::ListenAddress() const
{
  return state_->listen_;
}

void
CuttableLink::SetMode(LinkMode aMode)
{
  const LinkMode before = state_->mode_;
  state_->mode_ = aMode;
  if (aMode == LinkMode::SilenceOpen || aMode == LinkMode::SilenceAll) {
    for (auto& pair : state_->pairs_) {
      pair.isSilent_ = true;
    }
  }
  if (aMode == LinkMode::Cut) {
    state_->CloseAll();
    evconnlistener_free(state_->listener_);
    state_->listener_ = nullptr;
  } else if (before == LinkMode::Cut) {
    state_->Listen(state_->listen_);
  }
}

} // namespace sycamoreward
