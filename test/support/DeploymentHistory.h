#pragma once

// Collects the history recorded by the callers, servers and ledger of a
// deployment, and checks it for violations.

#include "caller/RecordingCaller.h"
#include "support/Deployment.h"
#include "verify/History.h"

namespace sycamoreward {

// Reads the counters of the running servers, and the ledger from the platform's
// table. Waits, up to a timeout, until the ledger has a record of each answered
// request.
History
CollectHistory(Deployment& aDeployment, const RecordingCaller& aCaller);

// Fails the test if the last reply to a request is not a success, or if the
// history has a violation.
void
ExpectAllAnswered(Deployment& aDeployment, const RecordingCaller& aCaller);

// Fails the test if the history has a violation. Errors that were reported
// truthfully are not violations.
void
ExpectNoViolations(Deployment& aDeployment, const RecordingCaller& aCaller);

} // namespace sycamoreward
