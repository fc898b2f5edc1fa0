#pragma once

// Errors as reported to callers: a status, and a JSON body with code, step,
// peer and whether the request ran.

#include "base/Clock.h"
#include "base/Error.h"
#include "runtime/Http.h"

#include <string>

namespace sycamoreward {

// Whether a request was executed by a backend server.
enum class Ran
{
  NotRun,
  Ran,
  Unknown
};

// Returns "not_run", "ran" or "unknown".
const char*
ToString(Ran aRan);

struct CallerError
{
  int status_ = 500;
  // Machine-readable code, such as "overloaded".
  std::string code_;
  // Human-readable message, as a full sentence.
  std::string message_;
  // Step of the request that failed, such as "claim".
  std::string step_;
  // Backend server or instance that the error concerns; may be empty.
  std::string peer_;
  Ran ran_ = Ran::NotRun;
  // Sent as Retry-After with statuses 429 and 503, rounded up to whole seconds,
  // at least 1.
  Duration retryAfter_ = std::chrono::seconds(1);
};

std::string
// Returns the JSON body of the error reply.
WriteErrorBody(const CallerError& aError);

HttpHeaders
// Returns Content-Type and, with statuses 429 and 503, Retry-After.
MakeErrorHeaders(const CallerError& aError);

// Serialize and parse an error that is sent between instances. Text that cannot
// be parsed gives an error with status 502 and Ran::Unknown.
std::string
WriteCallerError(const CallerError& aError);
CallerError
ReadCallerError(const std::string& aText);

// Thrown when a request is rejected before it is accepted.
class RequestRefused : public UserError
{
public:
  explicit RequestRefused(CallerError aError);
  const CallerError& Error() const { return error_; }

private:
  CallerError error_;
};

} // namespace sycamoreward
