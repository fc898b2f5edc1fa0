#include "http/BackendChannel.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"

namespace sycamoreward::http {

namespace {

// Larger than any response head that the supported backend servers send.
constexpr std::size_t kMaxHeadBytes = 32 * 1024;
// Maximum number of bytes, before the answer to the request, of interim answers
// and of answers to other requests. A server that is in trouble can send them
// without end.
constexpr std::size_t kMaxForeignBytes = 256 * 1024;
constexpr std::size_t kReadStep = 64 * 1024;
// An idle connection is no longer reused this long before the server closes
// it, so that a request is not sent while the server is closing.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);
constexpr int kFirstFailureStatus = 400;
// Idle timeout assumed for a server that does not announce one.
constexpr Duration kDefaultIdleTimeout = std::chrono::milliseconds(2500);

// The idle timeout announced by "Keep-Alive: timeout=SECONDS".
Duration
IdleTimeout(const ResponseHead& aHead)
{
  const std::string* value = aHead.Find("keep-alive");
  if (value == nullptr) {
    return kDefaultIdleTimeout;
  }
  const std::size_t at = value->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultIdleTimeout;
  }
  std::string_view digits = std::string_view(*value).substr(at + 8);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = ParseDecimal(digits);
  return seconds.has_value() ? Duration(std::chrono::seconds(
                                 std::min<std::uint64_t>(*seconds, 60)))
                             : kDefaultIdleTimeout;
}

} // namespace

const char*
ToText(ChannelFailure aFailure)
{
  switch (aFailure) {
    case ChannelFailure::NotConnected:
      return "not_connected";
    case ChannelFailure::NoAnswer:
      return "no_answer";
    case ChannelFailure::TruncatedAnswer:
      return "cut_answer";
    case ChannelFailure::MalformedAnswer:
      return "malformed_answer";
  }
  return "unknown";
}

BackendChannel::BackendChannel(EventLoop& aLoop, const Address& aAddress)
  : loop_(aLoop)
  , channel_(Channel::Connect(aLoop, aAddress))
{
}

BackendChannel::~BackendChannel()
{
  loop_.CancelTimer(closingTimer_);
}

void
BackendChannel::SetUp()
{
  Channel::Callbacks callbacks;
  const std::weak_ptr<BackendChannel> weak = weak_from_this();
  callbacks.onData_ = [weak] {
    if (const auto self = weak.lock()) {
      self->Read();
    }
  };
  callbacks.onClosed_ = [weak](bool aWasReset) {
    if (const auto self = weak.lock()) {
      self->HandleClosed(aWasReset);
    }
  };
  channel_->SetCallbacks(std::move(callbacks));
}

void
BackendChannel::Send(std::string aMethod,
                     std::string aHead,
                     std::string_view aBody,
                     Callbacks aCallbacks,
                     const std::shared_ptr<const void>& aBodyOwner)
{
  callbacks_ = std::make_shared<const Callbacks>(std::move(aCallbacks));
  method_ = std::move(aMethod);
  state_ = State::Head;
  foreignBytes_ = 0;
  closing_ = {};
  closing_.requestBytes_ = aBody.size();
  isReusable_ = false;
  if (aBody.size() < kReadStep) {
    // A single write sends a small request in one packet.
    aHead.append(aBody);
    channel_->Write(aHead);
  } else {
    channel_->Write(aHead);
    if (aBodyOwner != nullptr) {
      channel_->WriteShared(aBody, aBodyOwner);
    } else {
      channel_->Write(aBody);
    }
  }
  if (channel_->IsClosed()) {
    loop_.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->HandleClosed(true);
      }
    });
  }
}

bool
BackendChannel::CanReuse() const
{
  return state_ == State::Idle && isReusable_ && !channel_->IsClosed() &&
         channel_->Unread() == 0;
}

void
BackendChannel::Cut()
{
  state_ = State::Ended;
  loop_.CancelTimer(closingTimer_);
  closingTimer_ = 0;
  callbacks_.reset();
  onIdleEnd_ = nullptr;
  channel_->Reset();
}

void
BackendChannel::Read()
{
  const auto self = shared_from_this();
  bool hasProgress = true;
  while (hasProgress) {
    switch (state_) {
      case State::Head:
        hasProgress = ReadHead();
        break;
      case State::Body:
      case State::SkippedBody:
        hasProgress = ReadBody();
        break;
      case State::Idle:
        // Data arrived without a pending request, so later responses could be
        // matched to the wrong request. The connection is closed.
        HandleClosed(true);
        hasProgress = false;
        break;
      case State::Closing:
      case State::Ended:
        hasProgress = false;
        break;
    }
  }
}

bool
BackendChannel::ReadHead()
{
  const std::string_view bytes = channel_->Peek(kMaxHeadBytes);
  const std::size_t end = FindHeadEnd(bytes);
  if (end == std::string_view::npos) {
    if (bytes.size() >= kMaxHeadBytes) {
      Fail(ChannelFailure::MalformedAnswer);
    }
    return false;
  }
  try {
    head_ = ParseResponseHead(bytes.substr(0, end));
    framing_ = ResponseFraming(head_, method_);
  } catch (const UserError&) {
    Fail(ChannelFailure::MalformedAnswer);
    return false;
  }
  channel_->Consume(end);
  if (head_.status_ < 200) {
    return CountForeign(end);
  }
  body_ = BodyDecoder(framing_, BodyDecoder::Trailer::Ignored);
  const auto callbacks = callbacks_;
  if (!callbacks->matchesRequest_(head_)) {
    state_ = body_.IsDone() ? State::Head : State::SkippedBody;
    return CountForeign(end);
  }
  state_ = State::Body;
  callbacks->onHead_(head_, framing_);
  return true;
}

bool
BackendChannel::ReadBody()
{
  if (body_.IsDone()) {
    if (state_ == State::SkippedBody) {
      state_ = State::Head;
      return true;
    }
    End();
    return false;
  }
  const std::string_view bytes = channel_->Peek(kReadStep);
  if (bytes.empty()) {
    return false;
  }
  std::string content;
  std::size_t consumed = 0;
  try {
    consumed = body_.Decode(bytes, content);
    channel_->Consume(consumed);
  } catch (const UserError&) {
    Fail(ChannelFailure::MalformedAnswer);
    return false;
  }
  if (state_ == State::SkippedBody) {
    return CountForeign(consumed);
  }
  if (state_ == State::Body && !content.empty()) {
    const auto callbacks = callbacks_;
    callbacks->onBody_(content);
  }
  return true;
}

bool
BackendChannel::CountForeign(std::size_t aBytes)
{
  foreignBytes_ += aBytes;
  if (foreignBytes_ <= kMaxForeignBytes) {
    return true;
  }
  Fail(ChannelFailure::MalformedAnswer);
  return false;
}

void
BackendChannel::End()
{
  const bool isKeptAlive = head_.isHttp11_ &&
                           !head_.HasConnectionToken("close") &&
                           framing_.end_ != BodyEnd::Close;
  // The server would read unsent bytes of this request as the next request,
  // and unread bytes would be taken for the next response.
  isReusable_ =
    isKeptAlive && channel_->Unsent() == 0 && channel_->Unread() == 0;
  reusableUntil_ = loop_.GetClock().Now() + IdleTimeout(head_) - kIdleMargin;
  state_ = State::Idle;
  const auto callbacks = std::move(callbacks_);
  callbacks_.reset();
  callbacks->onEnd_();
}

void
BackendChannel::HandleClosed(bool aWasReset)
{
  const auto self = shared_from_this();
  switch (state_) {
    case State::Head:
      Fail(channel_->IsConnected() ? ChannelFailure::NoAnswer
                                   : ChannelFailure::NotConnected);
      return;
    case State::SkippedBody:
      Fail(ChannelFailure::NoAnswer);
      return;
    case State::Body:
      if (framing_.end_ == BodyEnd::Close && !aWasReset) {
        state_ = State::Closing;
        CheckClosing();
      } else {
        Fail(ChannelFailure::TruncatedAnswer);
      }
      return;
    case State::Idle: {
      const auto onIdleEnd = std::move(onIdleEnd_);
      Cut();
      if (onIdleEnd) {
        onIdleEnd();
      }
      return;
    }
    case State::Closing:
    case State::Ended:
      return;
  }
}

void
BackendChannel::CheckClosing()
{
  if (head_.status_ >= kFirstFailureStatus) {
    // A failure can come before the request is read, and is of use even if its
    // text is cut.
    End();
    return;
  }
  closing_.hasFailed_ = channel_->HasFailed();
  closing_.unacknowledgedBytes_ = channel_->Unacknowledged();
  switch (sycamoreward::CheckClosing(closing_, loop_.GetClock().Now())) {
    case ClosingResult::Complete:
      End();
      return;
    case ClosingResult::Truncated:
      Fail(ChannelFailure::TruncatedAnswer);
      return;
    case ClosingResult::Pending:
      break;
  }
  closingTimer_ =
    loop_.CallAfter(kClosingCheckInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->closingTimer_ = 0;
        self->CheckClosing();
      }
    });
}

void
BackendChannel::Fail(ChannelFailure aFailure)
{
  const auto callbacks = callbacks_;
  Cut();
  callbacks->onFailed_(aFailure);
}

} // namespace sycamoreward::http
