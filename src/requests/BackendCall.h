#pragma once

// The call of an attempt: what is sent to a backend server, how long its
// silence is borne, and what its reply says.

#include "requests/AcceptedRequest.h"
#include "requests/Attempt.h"
#include "retries/Failure.h"

#include <string>
#include <vector>

namespace sycamoreward {

// Shortest time without a byte after which a connection counts as silent.
constexpr Duration kMinSilenceTimeout = std::chrono::seconds(1);
// Gap between tokens that 95% of streams keep within.
constexpr Duration kTokenGapP95 = std::chrono::milliseconds(79);

// Longest time without a byte before the first one: 3 times the class's target,
// at least kMinSilenceTimeout.
Duration
FirstByteTimeout(const Service& aService);

// Longest time between the tokens of a stream.
Duration
TokenGapTimeout();

struct BackendCallInput
{
  Address server_;
  AttemptNumber attempt_;
  // Parts that the caller's answer has already.
  std::vector<std::string> delivered_;
  Duration remaining_{ 0 };
  std::uint64_t spanId_ = 0;
};

HttpClientRequest
MakeBackendCall(const AcceptedRequest& aRequest,
                const BackendCallInput& aInput);

// What a reply that is no whole answer says of the attempt.
AttemptFailure
ReadFailure(const AttemptReply& aReply);

// Whether the server said that it did not run the request.
bool
IsRefusal(const AttemptReply& aReply);

// Whether a request of this failure class may have run.
bool
MayHaveRun(FailureClass aClass);

} // namespace sycamoreward
