#include "requests/CallerConnection.h"

namespace sycamoreward {

void
CallerConnection::Attach(const std::shared_ptr<HttpExchange>& aExchange,
                         const std::shared_ptr<AnswerLog>& aLog,
                         const ReplyForm& aForm)
{
  std::make_shared<CallerConnection>(aExchange, aLog, aForm)->Begin();
}

CallerConnection::CallerConnection(std::shared_ptr<HttpExchange> aExchange,
                                   std::shared_ptr<AnswerLog> aLog,
                                   ReplyForm aForm)
  : exchange_(std::move(aExchange))
  , log_(std::move(aLog))
  , form_(std::move(aForm))
{
}

void
CallerConnection::Begin()
{
  // The log owns this object until Finish; the exchange holds only a weak
  // reference.
  const std::weak_ptr<CallerConnection> weak = weak_from_this();
  observer_ =
    log_->AddObserver([self = shared_from_this()] { self->Continue(); });
  exchange_->OnCallerGone([weak] {
    if (const auto self = weak.lock()) {
      self->Finish();
    }
  });
  exchange_->OnDrained([weak] {
    const auto self = weak.lock();
    if (self != nullptr && !self->isDone_) {
      self->log_->SetLagging(self->observer_, false);
      self->Continue();
    }
  });
  Continue();
}

void
CallerConnection::Continue()
{
  if (isDone_) {
    return;
  }
  const bool isStarted = writer_.has_value();
  const AnswerLog::State state = log_->GetState();
  if (state == AnswerLog::State::Moved ||
      (state == AnswerLog::State::Failed && isStarted)) {
    exchange_->Abort();
    Finish();
  } else if (state == AnswerLog::State::Failed) {
    SendErrorReply();
  } else if (form_.kind_ == ReplyKind::Stream) {
    ContinueStream();
  } else if (state == AnswerLog::State::Complete) {
    SendCompleteReply();
  }
}

void
CallerConnection::ContinueStream()
{
  const bool isComplete = log_->GetState() == AnswerLog::State::Complete;
  if (!writer_) {
    if (log_->Parts().empty() && !isComplete) {
      return;
    }
    writer_.emplace(form_, log_->Request().Value());
    HttpHeaders headers = BaseHeaders("text/event-stream");
    headers.emplace_back("Cache-Control", "no-store");
    exchange_->StartReply(200, headers);
  }
  if (exchange_->BufferedBytes().Value() > kMaxUnreadBytes) {
    log_->SetLagging(observer_, true);
    return;
  }
  std::string chunk = TakeChunk();
  const bool isLast = isComplete && next_ == log_->Parts().size();
  if (isLast) {
    writer_->AppendEnd(chunk, log_->FinishReason());
  }
  if (chunk.empty()) {
    return;
  }
  exchange_->SendChunk(chunk);
  if (isLast) {
    exchange_->EndReply();
    Finish();
  } else if (exchange_->BufferedBytes().Value() > kMaxUnreadBytes) {
    log_->SetLagging(observer_, true);
  }
}

std::string
CallerConnection::TakeChunk()
{
  std::string chunk;
  const auto& parts = log_->Parts();
  // The remaining parts are sent after the caller has read these.
  while (next_ < parts.size() && chunk.size() <= kMaxUnreadBytes) {
    writer_->AppendToken(chunk, parts[next_]);
    ++next_;
  }
  return chunk;
}

void
CallerConnection::SendCompleteReply()
{
  const std::string text = log_->Text();
  if (form_.kind_ == ReplyKind::Raw) {
    exchange_->Reply(log_->Status(), BaseHeaders(log_->ContentType()), text);
  } else {
    exchange_->Reply(200,
                     BaseHeaders("application/json"),
                     WriteObject(form_,
                                 log_->Request().Value(),
                                 text,
                                 log_->FinishReason(),
                                 Tokens(log_->Parts().size())));
  }
  Finish();
}

void
CallerConnection::SendErrorReply()
{
  HttpHeaders headers = MakeErrorHeaders(log_->Error());
  const HttpHeaders names = BaseHeaders("");
  headers.insert(headers.end(), names.begin(), names.end());
  exchange_->Reply(
    log_->Error().status_, headers, WriteErrorBody(log_->Error()));
  Finish();
}

void
CallerConnection::Finish()
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  // Removing the observer may drop the last reference to this object.
  const auto self = shared_from_this();
  exchange_.reset();
  log_->RemoveObserver(observer_);
}

HttpHeaders
CallerConnection::BaseHeaders(const std::string& aContentType) const
{
  HttpHeaders headers{ { "X-Request-Id", log_->Request().Value() } };
  if (!form_.generatedKey_.empty()) {
    headers.emplace_back("Idempotency-Key", form_.generatedKey_);
  }
  if (!aContentType.empty()) {
    headers.emplace_back("Content-Type", aContentType);
  }
  return headers;
}

} // namespace sycamoreward
