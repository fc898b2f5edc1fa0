#include "requests/CallerError.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward {

namespace {

using nlohmann::json;

std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

Ran
ParseRan(const std::string& aText)
{
  if (aText == "not_run") {
    return Ran::NotRun;
  }
  return aText == "ran" ? Ran::Ran : Ran::Unknown;
}

json
Fields(const CallerError& aError)
{
  return { { "code", aError.code_ },
           { "message", aError.message_ },
           { "step", aError.step_ },
           { "peer", aError.peer_ },
           { "ran", ToString(aError.ran_) } };
}

} // namespace

const char*
ToString(Ran aRan)
{
  switch (aRan) {
    case Ran::NotRun:
      return "not_run";
    case Ran::Ran:
      return "ran";
    case Ran::Unknown:
      return "unknown";
  }
  return "";
}

std::string
WriteErrorBody(const CallerError& aError)
{
  return Dump(json{ { "error", Fields(aError) } });
}

HttpHeaders
MakeErrorHeaders(const CallerError& aError)
{
  HttpHeaders headers{ { "Content-Type", "application/json" } };
  if (aError.status_ == 429 || aError.status_ == 503) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aError.retryAfter_).count();
    headers.emplace_back("Retry-After",
                         std::to_string(std::max<std::int64_t>(1, seconds)));
  }
  return headers;
}

std::string
WriteCallerError(const CallerError& aError)
{
  json fields = Fields(aError);
  fields["status"] = aError.status_;
  fields["retryAfterUs"] = aError.retryAfter_.count();
  return Dump(fields);
}

CallerError
ReadCallerError(const std::string& aText)
{
  CallerError error;
  error.status_ = 502;
  error.code_ = "owner_failed";
  error.message_ = "The instance that runs the request could not send its "
                   "answer.";
  error.step_ = "follow";
  error.ran_ = Ran::Unknown;
  try {
    const json fields = json::parse(aText);
    error.status_ = fields.at("status").get<int>();
    error.retryAfter_ = Duration(fields.at("retryAfterUs").get<std::int64_t>());
    error.ran_ = ParseRan(fields.at("ran").get<std::string>());
    error.code_ = fields.at("code").get<std::string>();
    error.message_ = fields.at("message").get<std::string>();
    error.step_ = fields.at("step").get<std::string>();
    error.peer_ = fields.at("peer").get<std::string>();
  } catch (const json::exception&) {
    // The text was written by another version; the defaults above apply.
    return error;
  }
  return error;
}

RequestRefused::RequestRefused(CallerError aError)
  : UserError(aError.step_, aError.peer_, aError.message_)
  , error_(std::move(aError))
{
}

} // namespace sycamoreward
