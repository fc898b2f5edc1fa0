#pragma once

// Errors as callers see them: a status, and a JSON body with code, step, peer
// and whether the request ran.

#include "base/Clock.h"
#include "base/Error.h"
#include "runtime/Http.h"

#include <string>

namespace sycamoreward {

enum class Ran
{
  NotRun,
  Ran,
  Unknown
};

// "not_run", "ran" or "unknown".
const char*
ToString(Ran aRan);

struct CallerError
{
  int status_ = 500;
  // Short name for programs, such as "overloaded".
  std::string code_;
  // Full sentence for people.
  std::string message_;
  std::string step_;
  std::string peer_;
  Ran ran_ = Ran::NotRun;
  // Sent as Retry-After with 429 and 503, in whole seconds and at least 1.
  Duration retryAfter_ = std::chrono::seconds(1);
};

std::string
WriteErrorBody(const CallerError& aError);

HttpHeaders
MakeErrorHeaders(const CallerError& aError);

// Form in which an error travels between instances, and back. A text that can't
// be read gives a 502 whose ran_ is unknown.
std::string
WriteCallerError(const CallerError& aError);
CallerError
ReadCallerError(const std::string& aText);

// A request that is refused before it is accepted.
class RequestRefused : public UserError
{
public:
  explicit RequestRefused(CallerError aError);
  const CallerError& Error() const { return error_; }

private:
  CallerError error_;
};

} // namespace sycamoreward
