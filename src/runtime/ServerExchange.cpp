#include "runtime/ServerExchange.h"

#include "base/Error.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <utility>

namespace sycamoreward {

namespace {

constexpr std::array kMethods{ HttpMethod::Get,    HttpMethod::Post,
                               HttpMethod::Put,    HttpMethod::Delete,
                               HttpMethod::Head,   HttpMethod::Patch,
                               HttpMethod::Options };

HttpMethod
MethodOf(const std::string& aName)
{
  for (const HttpMethod method : kMethods) {
    if (aName == ToString(method)) {
      return method;
    }
  }
  throw UserError(
    "read request", "", "The method " + aName + " is not supported.");
}

// Splits the target into path and query.
void
ReadTarget(HttpServerRequest& aRequest)
{
  evhttp_uri* uri = evhttp_uri_parse_with_flags(aRequest.target_.c_str(),
                                                EVHTTP_URI_NONCONFORMANT);
  if (uri == nullptr) {
    throw UserError("read request", "", "The target can't be parsed.");
  }
  const char* path = evhttp_uri_get_path(uri);
  aRequest.path_ = path == nullptr ? "" : path;
  evkeyvalq fields;
  const char* query = evhttp_uri_get_query(uri);
  if (query != nullptr && evhttp_parse_query_str(query, &fields) == 0) {
    for (evkeyval* field = fields.tqh_first; field != nullptr;
         field = field->next.tqe_next) {
      aRequest.query_[field->key] = field->value;
    }
    evhttp_clear_headers(&fields);
  }
  evhttp_uri_free(uri);
}

HttpServerRequest
TakeRequest(http::CallerExchange& aExchange)
{
  HttpServerRequest request;
  request.method_ = MethodOf(aExchange.head_.method_);
  request.target_ = aExchange.head_.target_;
  ReadTarget(request);
  for (const http::HeaderField& field : aExchange.head_.fields_) {
    request.headers_.emplace_back(field.name_, field.value_);
  }
  request.body_ = std::move(aExchange.body_);
  return request;
}

http::ResponseHead
MakeHead(int aStatus, const HttpHeaders& aHeaders)
{
  http::ResponseHead head;
  head.status_ = aStatus;
  head.reason_ = ReasonPhrase(aStatus);
  for (const auto& [name, value] : aHeaders) {
    head.fields_.push_back({ name, value });
  }
  return head;
}

} // namespace

ServerExchange::ServerExchange(const std::shared_ptr<HttpServer::State>& aState,
                               std::shared_ptr<http::CallerExchange> aExchange)
  : state_(aState)
  , charge_(aExchange->Charge())
  , parsed_(TakeRequest(*aExchange))
{
  exchange_ = std::move(aExchange);
  aState->open_.insert(this);
}

ServerExchange::~ServerExchange()
{
  Abort();
}

void
ServerExchange::Start()
{
  http::CallerExchange::Callbacks callbacks;
  const std::weak_ptr<ServerExchange> weak = weak_from_this();
  callbacks.onGone_ = [weak] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    self->isGone_ = true;
    auto callback = std::move(self->onCallerGone_);
    self->onCallerGone_ = nullptr;
    self->Detach();
    if (callback) {
      callback();
    }
  };
  callbacks.onFlushed_ = [weak] {
    const auto self = weak.lock();
    if (self != nullptr && self->onDrained_) {
      // The callback may replace itself.
      const auto callback = self->onDrained_;
      callback();
    }
  };
  exchange_->SetCallbacks(std::move(callbacks));
}

void
ServerExchange::Detach()
{
  exchange_.reset();
  if (const auto state = state_.lock()) {
    state->open_.erase(this);
    // A callback that owns this exchange would keep it alive forever. The
    // callback may be running now, so it is destroyed later.
    state->loop_.Post(
      [drained = std::move(onDrained_), gone = std::move(onCallerGone_)] {});
    onDrained_ = nullptr;
    onCallerGone_ = nullptr;
  }
}

void
ServerExchange::Reply(int aStatus,
                      const HttpHeaders& aHeaders,
                      std::string_view aBody)
{
  if (exchange_ == nullptr) {
    return;
  }
  const auto exchange = exchange_;
  Detach();
  exchange->Answer(MakeHead(aStatus, aHeaders), aBody);
}

void
ServerExchange::StartReply(int aStatus, const HttpHeaders& aHeaders)
{
  if (exchange_ != nullptr) {
    exchange_->Start(MakeHead(aStatus, aHeaders),
                     { http::BodyEnd::Chunked, 0 });
  }
}

void
ServerExchange::SendChunk(std::string_view aData)
{
  const auto state = state_.lock();
  if (exchange_ == nullptr || state == nullptr) {
    return;
  }
  exchange_->Send(aData);
  if (BufferedBytes() > state->options_.maxReplyBuffer_) {
    Abort();
  }
}

void
ServerExchange::EndReply()
{
  if (exchange_ == nullptr) {
    return;
  }
  const auto exchange = exchange_;
  Detach();
  exchange->Finish();
}

void
ServerExchange::Abort()
{
  if (exchange_ == nullptr) {
    return;
  }
  const auto exchange = exchange_;
  Detach();
  exchange->Abort();
}

Bytes
ServerExchange::BufferedBytes() const
{
  return Bytes(exchange_ == nullptr ? 0 : exchange_->Unsent());
}

bool
ServerExchange::MayRunFor(const WorkspaceId& aWorkspace)
{
  return exchange_ == nullptr || exchange_->MayRunFor(aWorkspace);
}

bool
ServerExchange::HoldMore(std::size_t aBytes)
{
  return exchange_ == nullptr || exchange_->HoldMore(aBytes);
}

std::shared_ptr<const void>
ServerExchange::Charge() const
{
  return charge_;
}

void
ReplyInvalidRequest(http::CallerExchange& aExchange, const std::string& aBody)
{
  aExchange.Answer(MakeHead(400, { { "Content-Type", "application/json" } }),
                   aBody);
}

} // namespace sycamoreward
