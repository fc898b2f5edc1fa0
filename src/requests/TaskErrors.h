#pragma once

// The errors that end a request, in the words that its caller gets.

#include "ledger/Ledger.h"
#include "requests/AcceptedRequest.h"
#include "requests/Attempt.h"
#include "requests/CallerError.h"
#include "routing/Scheduler.h"

namespace sycamoreward {

// No slot was given.
CallerError
RefusalError(const Grant& aGrant, Ran aRan);

// The ledger did not confirm the claim in time.
CallerError
ClaimError();

// The deadline passed.
CallerError
DeadlineError(Ran aRan);

// An attempt failed, and no other follows. Statuses from 400 to 499 of the
// server are passed on.
CallerError
AttemptError(const AttemptReply& aReply, const std::string& aServer, Ran aRan);

// An unrepeatable request was sent, and its server can't say whether it ran, or
// says that it ran but has no reply.
CallerError
SentError(const std::string& aServer, Ran aRan);

// The caller of a request without a key has gone.
CallerError
CallerGoneError(Ran aRan);

// Why a key can't be used for a request now. Only for BodyMismatch, Unsettled
// and a Finished without a kept answer.
CallerError
KeyError(const RegisterReply& aReply);

} // namespace sycamoreward
