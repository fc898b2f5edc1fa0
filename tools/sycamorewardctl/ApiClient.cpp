#include "ApiClient.h"

#include <cctype>
#include <optional>
#include <string_view>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Timeout of a call, whether or not data is still arriving.
constexpr std::chrono::seconds kCallTimeout{ 60 };
// Maximum length of a line of a watch. A table row has at most 400 KB.
constexpr std::size_t kMaxLineBytes = 1U << 20U;

std::string
ErrorMessage(const ApiReply& aReply)
{
  const Json& body = aReply.body_;
  std::string text = "The server " + ToString(aReply.server_) +
                     " replied with status " + std::to_string(aReply.status_);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    text += " (" + body["error"].value("code", "no code") +
            "): " + body["error"].value("message", "");
    return text;
  }
  return text + ".";
}

std::vector<FieldError>
ReadDetails(const Json& aBody)
{
  std::vector<FieldError> details;
  const Json::json_pointer pointer("/error/details");
  if (!aBody.is_object() || !aBody.contains(pointer) ||
      !aBody[pointer].is_array()) {
    return details;
  }
  for (const Json& detail : aBody[pointer]) {
    if (detail.is_object()) {
      details.push_back(
        { detail.value("field", ""), detail.value("message", ""), 0 });
    }
  }
  return details;
}

} // namespace

ApiError::ApiError(const std::string& aStep, const ApiReply& aReply)
  : UserError(aStep, ToString(aReply.server_), ErrorMessage(aReply))
  , status_(aReply.status_)
  , details_(ReadDetails(aReply.body_))
{
}

ApiClient::ApiClient(std::vector<Address> aServers, std::string aToken)
  : servers_(std::move(aServers))
  , token_(std::move(aToken))
{
  if (servers_.empty()) {
    throw UserError("connect",
                    "",
                    "No server is given; pass --server IP:PORT or set "
                    "SYCAMOREWARD_SERVER (for request: --callers or "
                    "SYCAMOREWARD_CALLERS).");
  }
}

HttpClientRequest
ApiClient::MakeRequest(HttpMethod aMethod,
                       const std::string& aTarget,
                       const std::string& aBody) const
{
  HttpClientRequest request;
  request.address_ = servers_[currentServer_];
  request.method_ = aMethod;
  request.target_ = aTarget;
  request.body_ = aBody;
  request.mayReuseConnection_ = aMethod == HttpMethod::Get;
  if (!token_.empty()) {
    request.headers_.emplace_back("Authorization", "Bearer " + token_);
  }
  if (!aBody.empty()) {
    request.headers_.emplace_back("Content-Type", "application/json");
  }
  return request;
}

HttpClientReply
ApiClient::Fetch(const HttpClientRequest& aRequest)
{
  // Shared with the callback, which may run after this call has timed out.
  const auto reply = std::make_shared<std::optional<HttpClientReply>>();
  const auto call = client_.Fetch(
    aRequest, [reply](HttpClientReply aReply) { *reply = std::move(aReply); });
  if (!loop_.RunUntil([&] { return reply->has_value(); }, kCallTimeout)) {
    call->Cancel();
    HttpClientReply timedOut;
    timedOut.end_ = HttpEnd::Silent;
    return timedOut;
  }
  return std::move(**reply);
}

ApiReply
ApiClient::Call(HttpMethod aMethod,
                const std::string& aTarget,
                const std::string& aBody)
{
  std::string failedServers;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const Address server = servers_[currentServer_];
    const HttpClientReply reply = Fetch(MakeRequest(aMethod, aTarget, aBody));
    if (reply.end_ == HttpEnd::Complete) {
      Json body = Json::parse(reply.body_, nullptr, false);
      if (body.is_discarded()) {
        body = nullptr;
      }
      return { reply.status_, std::move(body), server };
    }
    failedServers += (failedServers.empty() ? "" : ", ") + ToString(server) +
                     " (" + ToString(reply.end_) + ")";
    currentServer_ = (currentServer_ + 1) % servers_.size();
    if (reply.end_ != HttpEnd::NotConnected && aMethod != HttpMethod::Get) {
      throw InternalError(
        "call",
        ToString(server),
        "The connection to " + ToString(server) + " ended (" +
          ToString(reply.end_) + ") before the reply to " + ToString(aMethod) +
          " " + aTarget +
          ", so it is unknown whether the change took effect; run the command "
          "again, which reads the resource first.");
    }
  }
  throw InternalError(
    "call", "", "No server replied; tried: " + failedServers + ".");
}

Json
ApiClient::CallOrThrow(HttpMethod aMethod,
                       const std::string& aTarget,
                       const std::string& aBody)
{
  ApiReply reply = Call(aMethod, aTarget, aBody);
  if (reply.status_ < 200 || reply.status_ > 299) {
    throw ApiError(ToString(aMethod), reply);
  }
  if (reply.body_.is_null() && aMethod == HttpMethod::Get) {
    throw InternalError(ToString(aMethod),
                        ToString(reply.server_),
                        "The reply of " + ToString(reply.server_) + " to " +
                          aTarget + " is not JSON.");
  }
  return std::move(reply.body_);
}

ApiClient::StreamEnd
ApiClient::Stream(const std::string& aTarget,
                  const std::function<bool(const std::string&)>& aOnLine)
{
  struct State
  {
    StreamEnd end_;
    std::string buffer_;
    bool isDone_ = false;
  };
  const auto state = std::make_shared<State>();
  HttpCallbacks callbacks;
  callbacks.onHead_ = [state](int aStatus, const HttpHeaders& /*aHeaders*/) {
    state->end_.status_ = aStatus;
  };
  callbacks.onData_ = [state, &aOnLine](std::string_view aData) {
    if (state->isDone_) {
      return;
    }
    if (state->end_.status_ != 200) {
      state->end_.error_ += aData.substr(0, kMaxLineBytes);
      return;
    }
    state->buffer_ += aData;
    std::size_t from = 0;
    for (std::size_t at = state->buffer_.find('\n', from);
         at != std::string::npos && !state->isDone_;
         at = state->buffer_.find('\n', from)) {
      state->isDone_ = !aOnLine(state->buffer_.substr(from, at - from));
      from = at + 1;
    }
    state->buffer_.erase(0, from);
    if (state->buffer_.size() > kMaxLineBytes) {
      state->end_.end_ = HttpEnd::Broken;
      state->isDone_ = true;
    }
  };
  callbacks.onEnd_ = [state](HttpEnd aEnd) {
    state->end_.end_ = aEnd;
    state->isDone_ = true;
  };
  HttpClientRequest request = MakeRequest(HttpMethod::Get, aTarget, "");
  request.mayReuseConnection_ = false;
  const auto call = client_.Start(request, std::move(callbacks));
  while (!loop_.RunUntil([&] { return state->isDone_; }, kCallTimeout)) {
  }
  call->Cancel();
  if (state->end_.end_ != HttpEnd::Complete) {
    currentServer_ = (currentServer_ + 1) % servers_.size();
  }
  return state->end_;
}

void
ApiClient::RunLoopFor(Duration aTime)
{
  loop_.RunUntil([] { return false; }, aTime);
}

std::string
ResourceTarget(ResourceKind aKind, const std::string& aName)
{
  const std::string kind = std::string("/apis/v1/") + ToString(aKind);
  return aName.empty() ? kind : kind + "/" + EncodePathSegment(aName);
}

std::string
EncodePathSegment(const std::string& aText)
{
  static const char* const kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char letter : aText) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 ||
        std::string_view("-._~").find(letter) != std::string_view::npos) {
      encoded += letter;
    } else {
      encoded += { '%', kDigits[byte >> 4U], kDigits[byte & 15U] };
    }
  }
  return encoded;
}

} // namespace sycamoreward
