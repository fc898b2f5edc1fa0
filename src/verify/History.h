#pragma once

// Checks what a run left behind against the promises: what callers saw, what
// backend servers ran and what the ledger says. Shares no logic with the
// request path, so that a fault there does not hide itself.

#include "base/Clock.h"
#include "base/Ids.h"
#include "ledger/Outcome.h"

#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

// What an error reply said about the request.
enum class RanReport
{
  NotRun,
  Ran,
  Unknown
};

// One reply, or the loss of one, as a caller saw it.
struct CallerReply
{
  RequestId request_;
  // 0 when the connection broke before a status.
  int status_ = 0;
  // The end of the reply arrived.
  bool isComplete_ = false;
  std::string answer_;
  // With an error status.
  RanReport ran_ = RanReport::Unknown;
  Duration elapsed_{ 0 };
};

// One request with all the replies to it; a caller asks again with its key when
// a connection breaks.
struct CallerHistory
{
  std::string name_;
  ServiceName service_;
  bool isRepeatable_ = true;
  // The answer that only this request may get. Empty when it can't be told in
  // advance, as with record numbers.
  std::string expectedAnswer_;
  Duration deadline_{ 0 };
  std::vector<CallerReply> replies_;
};

// How often the backend servers ran a request.
using RunCounts = std::map<RequestId, unsigned>;

struct History
{
  std::vector<CallerHistory> callers_;
  RunCounts runs_;
  std::vector<Outcome> ledger_;
};

enum class Violation
{
  // No whole answer and no true error.
  Lost,
  // The last reply came after the deadline.
  Late,
  // An unrepeatable request ran more than once, or two callers got one record.
  Doubled,
  // A whole answer that belongs to another request.
  MixedUp,
  // An answer that was given as whole but ends early.
  Cut,
  // A statement about a request that is not true: "not run" of one that ran, a
  // completed record of one that did not, a missing or second record.
  WronglyReported
};

const char*
ToString(Violation aViolation);

struct Finding
{
  Violation violation_ = Violation::Lost;
  // Name of the caller's request or id of the record.
  std::string request_;
  std::string detail_;
};

// All violations in aHistory, in the order of callers and then of the ledger.
std::vector<Finding>
CheckHistory(const History& aHistory);

} // namespace sycamoreward
