#include "http/CallerConnection.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"

namespace sycamoreward::http {

namespace {

// Maximum number of bytes of pipelined requests that are buffered while a
// request is handled.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
// Maximum number of bytes decoded in one step.
constexpr std::size_t kReadStep = 64 * 1024;

} // namespace

CallerConnection::CallerConnection(CallerServer& aServer,
                                   EventLoop& aLoop,
                                   int aSocket)
  : server_(&aServer)
  , loop_(aLoop)
  , channel_(Channel::Accept(aLoop, aSocket))
  , stateStart_(aLoop.GetClock().Now())
{
}

void
CallerConnection::Start()
{
  Channel::Callbacks callbacks;
  const std::weak_ptr<CallerConnection> weak = weak_from_this();
  callbacks.onData_ = [weak] {
    if (const auto self = weak.lock()) {
      self->ReadRequests();
    }
  };
  callbacks.onFlushed_ = [weak] {
    const auto self = weak.lock();
    if (self != nullptr && self->exchange_ != nullptr) {
      const auto onFlushed = self->exchange_->callbacks_.onFlushed_;
      if (onFlushed) {
        onFlushed();
      }
    }
  };
  callbacks.onClosed_ = [weak](bool /*aWasReset*/) {
    if (const auto self = weak.lock()) {
      self->HandleClosed();
    }
  };
  channel_->SetCallbacks(std::move(callbacks));
}

void
CallerConnection::ReadRequests()
{
  if (isReading_) {
    return;
  }
  isReading_ = true;
  bool hasProgress = true;
  while (hasProgress && state_ != State::Closed) {
    switch (state_) {
      case State::Idle:
      case State::Head:
        hasProgress = ReadHead();
        break;
      case State::Body:
        hasProgress = ReadBody();
        break;
      default:
        hasProgress = false;
        if (channel_->Unread() > kMaxPipelinedBytes) {
          channel_->PauseReading();
        }
    }
  }
  isReading_ = false;
}

bool
CallerConnection::ReadHead()
{
  if (channel_->Unread() == 0 || server_ == nullptr) {
    return false;
  }
  if (state_ == State::Idle) {
    state_ = State::Head;
    stateStart_ = loop_.GetClock().Now();
    limits_ = server_->Limits();
  }
  const std::string_view bytes = channel_->Peek(limits_.headerBytes_);
  const std::size_t end = FindHeadEnd(bytes);
  if (end == std::string_view::npos) {
    if (HasBareLineFeed(bytes)) {
      Refuse(400, "A line of the head ends without CR.");
      return false;
    }
    if (channel_->Unread() >= limits_.headerBytes_) {
      Refuse(431, "Request Header Fields Too Large");
    }
    return false;
  }
  try {
    auto exchange = std::make_shared<CallerExchange>();
    exchange->head_ = ParseRequestHead(bytes.substr(0, end));
    const Framing framing = RequestFraming(exchange->head_);
    if (framing.end_ == BodyEnd::Length &&
        framing.length_ > limits_.bodyBytes_) {
      Refuse(413, "Content Too Large");
      return false;
    }
    body_ = BodyDecoder(framing, BodyDecoder::Trailer::Refused);
    channel_->Consume(end);
    exchange->connection_ = weak_from_this();
    exchange->isHeadRequest_ = exchange->head_.method_ == "HEAD";
    closesAfterAnswer_ =
      exchange->head_.HasConnectionToken("close") || !exchange->head_.isHttp11_;
    const std::string* expect = exchange->head_.Find("expect");
    if (expect != nullptr && IsSameToken(*expect, "100-continue") &&
        !body_.IsDone()) {
      channel_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    exchange_ = std::move(exchange);
    state_ = State::Body;
  } catch (const UserError& error) {
    Refuse(400, error.what());
    return false;
  }
  return true;
}

bool
CallerConnection::ReadBody()
{
  try {
    while (!body_.IsDone()) {
      const std::string_view bytes = channel_->Peek(kReadStep);
      if (bytes.empty()) {
        return false;
      }
      channel_->Consume(body_.Decode(bytes, exchange_->body_));
      if (exchange_->body_.size() > limits_.bodyBytes_) {
        Refuse(413, "Content Too Large");
        return false;
      }
    }
  } catch (const UserError& error) {
    Refuse(400, error.what());
    return false;
  }
  Dispatch();
  return true;
}

void
CallerConnection::Dispatch()
{
  state_ = State::Handling;
  exchange_->received_ = loop_.GetClock().Now();
  const auto exchange = exchange_;
  server_->handler_(exchange);
}

void
CallerConnection::Refuse(int aStatus, const std::string& aReason)
{
  exchange_.reset();
  ResponseHead head;
  head.status_ = aStatus;
  head.reason_ = aStatus == 400 ? "Bad Request" : aReason;
  const std::string body = aReason + "\n";
  head.fields_ = { { "Content-Type", "text/plain" },
                   { "Content-Length", std::to_string(body.size()) },
                   { "Connection", "close" } };
  channel_->Write(Serialize(head));
  channel_->Write(body);
  channel_->CloseAfterFlush();
  Drop();
}

void
CallerConnection::HandleClosed()
{
  const auto exchange = std::move(exchange_);
  exchange_.reset();
  channel_->Reset();
  const bool wasHandling = state_ == State::Handling;
  Drop();
  if (wasHandling && exchange != nullptr) {
    const auto onGone = exchange->callbacks_.onGone_;
    exchange->callbacks_ = {};
    if (onGone) {
      onGone();
    }
  }
}

void
CallerConnection::Drop()
{
  state_ = State::Closed;
  if (server_ != nullptr) {
    server_->connections_.erase(shared_from_this());
  }
}

void
CallerConnection::Detach()
{
  server_ = nullptr;
  exchange_.reset();
  state_ = State::Closed;
  channel_->Reset();
}

void
CallerConnection::FinishExchange()
{
  exchange_->callbacks_ = {};
  exchange_.reset();
  if (closesAfterAnswer_ || server_ == nullptr || server_->IsDraining()) {
    channel_->CloseAfterFlush();
    Drop();
    return;
  }
  state_ = State::Idle;
  stateStart_ = loop_.GetClock().Now();
  channel_->ResumeReading();
  // Posted, because the code that called Finish may still be using its state.
  if (channel_->Unread() > 0) {
    loop_.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->ReadRequests();
      }
    });
  }
}

void
CallerConnection::CheckTimeouts(MonotonicTime aNow)
{
  const bool isIdleTooLong =
    state_ == State::Idle &&
    aNow - stateStart_ > server_->Limits().idleTimeout_;
  if (isIdleTooLong) {
    CloseWhenIdle();
    return;
  }
  const bool isTooSlow = (state_ == State::Head || state_ == State::Body) &&
                         aNow - stateStart_ > limits_.requestTimeout_;
  if (isTooSlow) {
    Refuse(408, "Request Timeout");
  }
}

void
CallerConnection::CloseWhenIdle()
{
  if (state_ != State::Idle || channel_->Unread() > 0) {
    return;
  }
  channel_->CloseAfterFlush();
  Drop();
}

void
CallerExchange::Start(ResponseHead aHead, const Framing& aFraming)
{
  const auto connection = connection_.lock();
  if (connection == nullptr || connection->exchange_.get() != this) {
    return;
  }
  isStarted_ = true;
  framing_ = aFraming;
  if (framing_.end_ == BodyEnd::Chunked && !head_.isHttp11_) {
    framing_.end_ = BodyEnd::Close;
  }
  if (framing_.end_ == BodyEnd::Chunked) {
    aHead.fields_.push_back({ "Transfer-Encoding", "chunked" });
  } else if (framing_.end_ != BodyEnd::Close && aHead.status_ != 204 &&
             aHead.status_ != 304) {
    aHead.fields_.push_back(
      { "Content-Length", std::to_string(framing_.length_) });
  }
  const bool isDraining =
    connection->server_ == nullptr || connection->server_->IsDraining();
  if (isDraining || framing_.end_ == BodyEnd::Close) {
    connection->closesAfterAnswer_ = true;
  }
  if (connection->closesAfterAnswer_) {
    aHead.fields_.push_back({ "Connection", "close" });
  }
  connection->channel_->Write(Serialize(aHead));
}

void
CallerExchange::Send(std::string_view aBytes)
{
  const auto connection = connection_.lock();
  if (connection == nullptr || connection->exchange_.get() != this ||
      aBytes.empty() || isHeadRequest_) {
    return;
  }
  if (framing_.end_ != BodyEnd::Chunked) {
    connection->channel_->Write(aBytes);
    return;
  }
  constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (std::size_t rest = aBytes.size(); rest > 0; rest /= 16) {
    size.insert(size.begin(), kDigits[rest % 16]);
  }
  size += "\r\n";
  size.append(aBytes).append("\r\n");
  connection->channel_->Write(size);
}

void
CallerExchange::Finish()
{
  const auto connection = connection_.lock();
  if (connection == nullptr || connection->exchange_.get() != this) {
    return;
  }
  if (framing_.end_ == BodyEnd::Chunked && !isHeadRequest_) {
    connection->channel_->Write("0\r\n\r\n");
  }
  connection->FinishExchange();
}

void
CallerExchange::Abort()
{
  const auto connection = connection_.lock();
  if (connection == nullptr || connection->exchange_.get() != this) {
    return;
  }
  callbacks_ = {};
  connection->exchange_.reset();
  connection->channel_->Reset();
  connection->Drop();
}

void
CallerExchange::Answer(ResponseHead aHead, std::string_view aBody)
{
  const BodyEnd end = aBody.empty() ? BodyEnd::None : BodyEnd::Length;
  Start(std::move(aHead), Framing{ end, aBody.size() });
  Send(aBody);
  Finish();
}

std::size_t
CallerExchange::Unsent() const
{
  const auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->channel_->Unsent();
}

} // namespace sycamoreward::http
