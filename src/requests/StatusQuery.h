#pragma once

// Asks a server of a plain service whether a request ran, after the connection
// of its call was lost.
//
// The server answers GET on the service's statusPath with JSON: "ran" (true or
// false), "running" (true while it works on the request; "ran" may be absent
// then), and "reply" (text of
// the stored reply, with "status" and "contentType") where it has one. With
// "ran": false and "running" not true the server states that it did not run the
// request and will not run it later.

#include "base/Address.h"
#include "ledger/Outcome.h"
#include "requests/CallerError.h"
#include "requests/RequestContext.h"

#include <functional>
#include <optional>
#include <string>

namespace sycamoreward {

struct StatusAnswer
{
  Ran ran_ = Ran::Unknown;
  std::optional<KeptAnswer> reply_;
};

// What one reply of the server says. Empty while the request runs.
std::optional<StatusAnswer>
ReadStatus(const HttpClientReply& aReply);

// Puts the request id in the place of "{id}".
std::string
StatusTarget(const std::string& aStatusPath, const RequestId& aRequest);

// Questions that may stay without an answer.
constexpr unsigned kMaxStatusFailures = 6;
// Questions in all, so that a request that never ends is given up.
constexpr unsigned kMaxStatusQueries = 64;
// "Not run" counts when this many answers in a row say so: bytes of the call
// that were on their way when its connection was cut may arrive after the first
// question.
constexpr unsigned kNotRunConfirmations = 3;

// Asks on new connections until the server gives a definite answer or the
// bounds above are reached.
void
QueryWhetherRan(RequestContext& aContext,
                const Address& aServer,
                const std::string& aTarget,
                std::function<void(StatusAnswer)> aOnAnswer);

} // namespace sycamoreward
