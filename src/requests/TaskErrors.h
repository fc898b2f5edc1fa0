#pragma once

// The errors that end a request, as reported to its caller.

#include "ledger/Ledger.h"
#include "requests/AcceptedRequest.h"
#include "requests/Attempt.h"
#include "requests/CallerError.h"
#include "routing/Scheduler.h"

namespace sycamoreward {

// The scheduler granted no slot.
CallerError
RefusalError(const Grant& aGrant, Ran aRan);

// The ledger did not confirm the claim in time.
CallerError
ClaimError();

// The deadline passed.
CallerError
DeadlineError(Ran aRan);

// An attempt failed and is not retried. Statuses from 400 to 499 of the server
// are passed on to the caller.
CallerError
AttemptError(const AttemptReply& aReply, const std::string& aServer, Ran aRan);

// An unrepeatable request was sent, and its server cannot tell whether it ran,
// or reports that it ran but has no stored reply.
CallerError
SentError(const std::string& aServer, Ran aRan);

// The caller of a request without a key has disconnected.
CallerError
CallerGoneError(Ran aRan);

// Why a key cannot be used now. Only for the statuses BodyMismatch, Unsettled,
// and Finished without a stored answer.
CallerError
KeyError(const RegisterReply& aReply);

} // namespace sycamoreward
