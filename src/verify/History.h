#pragma once

// Checks the history of a test run against the guarantees of the system: the
// replies that callers received, the requests that backend servers ran and the
// ledger records. Shares no logic with the request path, so that a fault there
// can't mask itself.

#include "base/Clock.h"
#include "base/Ids.h"
#include "ledger/Outcome.h"

#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

// What an error reply states about whether the request ran.
enum class RanReport
{
  NotRun,
  Ran,
  Unknown
};

// One reply, or a broken connection, as a caller saw it.
struct CallerReply
{
  RequestId request_;
  // 0 when the connection broke before a status was received.
  int status_ = 0;
  // The reply was received to its end.
  bool isComplete_ = false;
  std::string answer_;
  // Only used with an error status.
  RanReport ran_ = RanReport::Unknown;
  // Time from the start of the caller's request.
  Duration elapsed_{ 0 };
};

// One request with all replies to it. A caller repeats the request with the
// same idempotency key when a connection breaks.
struct CallerHistory
{
  std::string name_;
  ServiceName service_;
  bool isRepeatable_ = true;
  // The only valid answer to this request. Empty when it can't be predicted, as
  // with record numbers.
  std::string expectedAnswer_;
  // Time limit for the last reply; 0 for none.
  Duration deadline_{ 0 };
  std::vector<CallerReply> replies_;
};

// Number of times that the backend servers ran each request.
using RunCounts = std::map<RequestId, unsigned>;

struct History
{
  std::vector<CallerHistory> callers_;
  RunCounts runs_;
  std::vector<Outcome> ledger_;
};

enum class Violation
{
  // The last reply is missing or incomplete.
  Lost,
  // The last reply arrived after the deadline.
  Late,
  // An unrepeatable request ran more than once, or two callers received the
  // same record.
  Doubled,
  // An answer, complete or partial, that does not belong to the request.
  MixedUp,
  // An answer that was reported as complete but is truncated.
  Cut,
  // A false statement about a request: "not run" for a request that ran, a
  // success or a completed record for one that did not run, or a missing or
  // duplicate record.
  WronglyReported
};

const char*
ToString(Violation aViolation);

// One violation.
struct Finding
{
  Violation violation_ = Violation::Lost;
  // Name of the caller's request, or request id of the ledger record.
  std::string request_;
  std::string detail_;
};

// Returns all violations in aHistory, first in order of callers, then in order
// of the ledger.
std::vector<Finding>
CheckHistory(const History& aHistory);

} // namespace sycamoreward
