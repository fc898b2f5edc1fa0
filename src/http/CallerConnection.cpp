#include "http/CallerConnection.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::http {

namespace {

// Maximum number of bytes of pipelined requests that are buffered while a
// request is handled.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
// Maximum number of bytes decoded in one step.
constexpr std::size_t kReadStep = 64 * 1024;
// The next request is not read while more of the earlier answers is unsent.
constexpr std::size_t kMaxUnsentAnswers = 64 * 1024;
constexpr std::size_t kMinBodyBuffer = 1024;
// The end of a head can begin this many bytes before the last one.
constexpr std::size_t kHeadEndOverlap = 3;
// A length above this is compared with what all callers hold before any of the
// body is read.
constexpr std::size_t kLargeBody = 64 * 1024;
// Retry-After of a refused caller, in seconds.
constexpr const char* kOverloadRetryAfter = "1";

constexpr const char* kMemoryReason =
  "The instance holds too many requests; this one has not run.";
constexpr const char* kConnectionsReason =
  "The instance has too many connections; nothing has run.";

// Memory of a parsed head.
std::size_t
HeadBytes(const RequestHead& aHead)
{
  std::size_t bytes = aHead.method_.capacity() + aHead.target_.capacity() +
                      aHead.fields_.capacity() * sizeof(HeaderField);
  for (const HeaderField& field : aHead.fields_) {
    bytes += field.name_.capacity() + field.value_.capacity();
  }
  return bytes;
}

std::string
RefusalText(int aStatus, const std::string& aReason)
{
  ResponseHead head;
  head.status_ = aStatus;
  switch (aStatus) {
    case 400:
      head.reason_ = "Bad Request";
      break;
    case 503:
      head.reason_ = "Service Unavailable";
      break;
    default:
      head.reason_ = aReason;
  }
  const std::string body = aReason + "\n";
  head.fields_ = { { "Content-Type", "text/plain" },
                   { "Content-Length", std::to_string(body.size()) },
                   { "Connection", "close" } };
  if (aStatus == 503) {
    head.fields_.push_back({ "Retry-After", kOverloadRetryAfter });
  }
  return Serialize(head) + body;
}

} // namespace

CallerConnection::CallerConnection(CallerServer& aServer,
                                   EventLoop& aLoop,
                                   int aSocket)
  : server_(&aServer)
  , loop_(aLoop)
  , accounts_(aServer.accounts_)
  , charge_(aServer.accounts_)
  , channel_(Channel::Accept(aLoop, aSocket))
  , stateStart_(aLoop.GetClock().Now())
{
  accounts_->Add(*this);
}

CallerConnection::~CallerConnection()
{
  accounts_->Remove(*this);
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
    if (self == nullptr) {
      return;
    }
    if (self->state_ == State::Idle) {
      self->channel_->ResumeReading();
      self->ReadRequests();
    } else if (self->exchange_ != nullptr) {
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
  channel_->OnReleased([weak] {
    if (const auto self = weak.lock()) {
      self->accounts_->Remove(*self);
      if (self->state_ == State::Closing) {
        self->Drop();
      }
    }
  });
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
        if (channel_->Unread() > kMaxPipelinedBytes ||
            (channel_->Unread() > 0 && accounts_->IsFull())) {
          channel_->PauseReading();
        }
    }
  }
  isReading_ = false;
  Account();
}

void
CallerConnection::UpdateCharge()
{
  // The sender of an answer in progress bounds its unsent bytes.
  const bool isEnding = state_ == State::Closing || state_ == State::Closed;
  const bool isRunning = state_ == State::Handling;
  charge_.Set((isEnding ? 0 : channel_->Unread()) +
              (isRunning ? 0 : channel_->Unsent()));
}

void
CallerConnection::Account()
{
  UpdateCharge();
  if (state_ == State::Body) {
    const std::size_t copies = body_.IsDone() ? limits_.bodyCopies_ : 1;
    exchange_->charge_->Set(HeadBytes(exchange_->head_) +
                            exchange_->body_.capacity() * copies);
  }
  if (state_ == State::Idle || state_ == State::Head || state_ == State::Body) {
    accounts_->MakeByteRoom(*this);
  }
}

bool
CallerConnection::PauseWhileAnswersWait()
{
  const bool isPaused = channel_->Unsent() > kMaxUnsentAnswers;
  if (isPaused) {
    channel_->PauseReading();
  }
  return isPaused;
}

bool
CallerConnection::ReadHead()
{
  if (channel_->Unread() == 0 || server_ == nullptr) {
    return false;
  }
  if (state_ == State::Idle) {
    if (PauseWhileAnswersWait()) {
      return false;
    }
    state_ = State::Head;
    stateStart_ = loop_.GetClock().Now();
    limits_ = server_->Limits();
    searchedBytes_ = 0;
  }
  const std::string_view bytes = channel_->Peek(limits_.headerBytes_);
  // A head that arrives in many pieces is searched once.
  const std::size_t start =
    searchedBytes_ - std::min(searchedBytes_, kHeadEndOverlap);
  const std::string_view rest = bytes.substr(start);
  std::size_t end = FindHeadEnd(rest);
  if (end == std::string_view::npos) {
    searchedBytes_ = bytes.size();
    // The first byte was checked before; if it is an LF, its CR precedes it.
    const bool isChecked = start > 0 && rest.front() == '\n';
    if (HasBareLineFeed(isChecked ? rest.substr(1) : rest)) {
      Refuse(400, "A line of the head ends without CR.");
      return false;
    }
    if (channel_->Unread() >= limits_.headerBytes_) {
      Refuse(431, "Request Header Fields Too Large");
    }
    return false;
  }
  end += start;
  try {
    auto exchange = std::make_shared<CallerExchange>();
    exchange->head_ = ParseRequestHead(bytes.substr(0, end));
    const Framing framing = RequestFraming(exchange->head_);
    if (framing.end_ == BodyEnd::Length &&
        framing.length_ > limits_.bodyBytes_) {
      Refuse(413, "Content Too Large");
      return false;
    }
    if (framing.end_ == BodyEnd::Length && framing.length_ > kLargeBody &&
        !accounts_->CouldFit(std::size_t(framing.length_) *
                             limits_.bodyCopies_)) {
      accounts_->Count(ClientLimit::HeldBytes);
      Refuse(503, kMemoryReason);
      return false;
    }
    body_ = BodyDecoder(framing, BodyDecoder::Trailer::Refused);
    framing_ = framing;
    channel_->Consume(end);
    exchange->accounts_ = accounts_;
    exchange->charge_ = std::make_shared<ClientCharge>(accounts_);
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
      ReserveBody(bytes.size());
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
  Account();
  if (state_ != State::Body) {
    return false;
  }
  Dispatch();
  return true;
}

void
CallerConnection::ReserveBody(std::size_t aBytes)
{
  std::string& body = exchange_->body_;
  std::size_t needed = body.size() + aBytes;
  if (framing_.end_ == BodyEnd::Length) {
    needed = std::min(needed, std::size_t(framing_.length_));
  }
  if (needed <= body.capacity()) {
    return;
  }
  std::size_t size =
    std::max({ needed, body.capacity() / 2 * 3, kMinBodyBuffer });
  if (framing_.end_ == BodyEnd::Length) {
    size = std::min(size, std::size_t(framing_.length_));
  }
  body.reserve(size);
}

void
CallerConnection::Dispatch()
{
  state_ = State::Handling;
  UpdateCharge();
  exchange_->received_ = loop_.GetClock().Now();
  const auto exchange = exchange_;
  server_->handler_(exchange);
}

void
CallerConnection::Refuse(int aStatus, const std::string& aReason)
{
  exchange_.reset();
  channel_->Write(RefusalText(aStatus, aReason));
  Close();
}

void
CallerConnection::RefuseOverload()
{
  Refuse(503, kConnectionsReason);
}

ClientHolding
CallerConnection::Holding(MonotonicTime aNow) const
{
  ClientHolding holding;
  holding.held_ = aNow - stateStart_;
  holding.bytes_ = charge_.Held();
  switch (state_) {
    case State::Idle:
      holding.phase_ =
        hasAnswered_ ? ClientPhase::Idle : ClientPhase::Incomplete;
      if (channel_->Unsent() > 0) {
        holding.phase_ = ClientPhase::Unread;
      }
      return holding;
    case State::Head:
    case State::Body:
      holding.phase_ = ClientPhase::Incomplete;
      holding.bytes_ += exchange_ == nullptr ? 0 : exchange_->charge_->Held();
      return holding;
    case State::Handling:
      holding.phase_ = ClientPhase::Running;
      return holding;
    default:
      holding.phase_ =
        channel_->Unsent() == 0 ? ClientPhase::Closing : ClientPhase::Unread;
      return holding;
  }
}

void
CallerConnection::Yield(ClientLimit aLimit)
{
  const auto self = shared_from_this();
  const bool isRequest = state_ == State::Head || state_ == State::Body;
  if (aLimit == ClientLimit::HeldBytes && isRequest) {
    Refuse(503, kMemoryReason);
    return;
  }
  exchange_.reset();
  const bool isRefusal = isRequest || (state_ == State::Idle && !hasAnswered_);
  channel_->CloseNow(isRefusal ? RefusalText(503, kConnectionsReason) : "");
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
CallerConnection::Close()
{
  const auto self = shared_from_this();
  state_ = State::Closing;
  stateStart_ = loop_.GetClock().Now();
  channel_->CloseAfterFlush();
  UpdateCharge();
  if (channel_->IsReleased()) {
    Drop();
  }
}

void
CallerConnection::Drop()
{
  const auto self = shared_from_this();
  state_ = State::Closed;
  charge_.Set(0);
  accounts_->Remove(*this);
  if (server_ != nullptr) {
    server_->connections_.erase(self);
  }
}

void
CallerConnection::Detach()
{
  server_ = nullptr;
  exchange_.reset();
  if (state_ != State::Closing) {
    channel_->Reset();
  }
  state_ = State::Closed;
}

bool
CallerConnection::IsClosing() const
{
  return state_ == State::Closing && channel_->Unsent() == 0;
}

bool
CallerConnection::HasUnsentAnswer() const
{
  return (state_ == State::Idle || state_ == State::Closing) &&
         channel_->Unsent() > 0;
}

void
CallerConnection::FinishExchange()
{
  exchange_->callbacks_ = {};
  exchange_.reset();
  hasAnswered_ = true;
  if (closesAfterAnswer_ || server_ == nullptr || server_->IsDraining()) {
    Close();
    return;
  }
  state_ = State::Idle;
  stateStart_ = loop_.GetClock().Now();
  UpdateCharge();
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

bool
CallerConnection::IsExpired(MonotonicTime aNow) const
{
  if (state_ == State::Idle) {
    return aNow - stateStart_ > server_->Limits().idleTimeout_;
  }
  return (state_ == State::Head || state_ == State::Body) &&
         aNow - stateStart_ > limits_.requestTimeout_;
}

void
CallerConnection::Expire()
{
  if (state_ == State::Head || state_ == State::Body) {
    Refuse(408, "Request Timeout");
  } else if (state_ == State::Idle && channel_->Unsent() > 0) {
    // The client does not read its last answer.
    channel_->Reset();
    Drop();
  } else {
    CloseWhenIdle();
  }
}

void
CallerConnection::CloseWhenIdle()
{
  if (state_ == State::Idle && channel_->Unread() == 0) {
    Close();
  }
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

bool
CallerExchange::MayRunFor(const WorkspaceId& aWorkspace)
{
  if (charge_ == nullptr) {
    return true;
  }
  if (!accounts_->MayRun(aWorkspace, charge_->Held())) {
    return false;
  }
  charge_->SetWorkspace(aWorkspace);
  return true;
}

bool
CallerExchange::HoldMore(std::size_t aBytes)
{
  if (charge_ == nullptr) {
    return true;
  }
  charge_->Set(charge_->Held() + aBytes);
  if (accounts_->Fits(charge_->Held())) {
    return true;
  }
  accounts_->Count(ClientLimit::HeldBytes);
  return false;
}

void
CallerExchange::HoldAnswer(std::size_t aBytes)
{
  if (charge_ != nullptr && aBytes != heldAnswer_) {
    charge_->Set(charge_->Held() - heldAnswer_ + aBytes);
    heldAnswer_ = aBytes;
  }
}

std::size_t
CallerExchange::Unsent() const
{
  const auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->channel_->Unsent();
}

} // namespace sycamoreward::http
