#pragma once

// Builds the HTTP call of an attempt, defines its timeouts and classifies its
// reply.

#include "requests/AcceptedRequest.h"
#include "requests/Attempt.h"
#include "retries/Failure.h"

#include <string>
#include <vector>

namespace sycamoreward {

// Minimum time without data after which a connection counts as silent; also the
// connect timeout.
constexpr Duration kMinSilenceTimeout = std::chrono::seconds(1);
// Gap between tokens that 95% of streams do not exceed.
constexpr Duration kTokenGapP95 = std::chrono::milliseconds(79);

// Maximum time until the first byte of a reply: 3 times the first-byte target
// of the service's class, at least kMinSilenceTimeout.
Duration
FirstByteTimeout(const Service& aService);

// Maximum time between tokens of a stream: 3 times kTokenGapP95, at least
// kMinSilenceTimeout.
Duration
TokenGapTimeout();

struct BackendCallInput
{
  Address server_;
  AttemptNumber attempt_;
  // Parts that the answer already contains; the engine continues after them.
  std::vector<std::string> delivered_;
  Duration remaining_{ 0 };
  std::uint64_t spanId_ = 0;
};

HttpClientRequest
// Builds the HTTP request that is sent to a backend server.
MakeBackendCall(const AcceptedRequest& aRequest,
                const BackendCallInput& aInput);

// Converts a reply that is not a complete answer to an AttemptFailure.
AttemptFailure
ReadFailure(const AttemptReply& aReply);

// Returns whether the server reported that it did not run the request.
bool
IsRefusal(const AttemptReply& aReply);

// Returns whether a request that failed with this class may have run.
bool
MayHaveRun(FailureClass aClass);

} // namespace sycamoreward
