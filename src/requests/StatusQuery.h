#pragma once

// Queries a server of a plain service whether a request ran, after the
// connection of its call was lost.
//
// The server replies to GET on the service's statusPath with JSON: "ran" (true
// or false), "running" (true while it processes the request; "ran" may be
// absent then), and, if it stored the reply, "reply" (its text) with "status"
// and "contentType". With "ran": false and "running" not true, the server
// guarantees that it did not run the request and will not run it later.

#include "base/Address.h"
#include "ledger/Outcome.h"
#include "requests/CallerError.h"
#include "requests/RequestContext.h"

#include <functional>
#include <optional>
#include <string>

namespace sycamoreward {

// Result of a status query.
struct StatusAnswer
{
  Ran ran_ = Ran::Unknown;
  // The stored reply, if the server has one.
  std::optional<KeptAnswer> reply_;
};

// Parses one reply of the server. Returns nullopt while the request runs.
std::optional<StatusAnswer>
ReadStatus(const HttpClientReply& aReply);

// Returns the status path with "{id}" replaced by the request id.
std::string
StatusTarget(const std::string& aStatusPath, const RequestId& aRequest);

// Maximum number of queries without a usable reply.
constexpr unsigned kMaxStatusFailures = 6;
// Maximum number of queries in total, so that a request that never ends is
// given up.
constexpr unsigned kMaxStatusQueries = 64;
// Number of consecutive "not run" replies that are required. Data of the call
// that was in transit when its connection was closed may arrive after the first
// query.
constexpr unsigned kNotRunConfirmations = 3;

// Sends queries on new connections until the server gives a definite reply or
// the limits above are reached. Calls aOnAnswer once, with Ran::Unknown when a
// limit was reached.
void
QueryWhetherRan(RequestContext& aContext,
                const Address& aServer,
                const std::string& aTarget,
                std::function<void(StatusAnswer)> aOnAnswer);

} // namespace sycamoreward
