#pragma once

// Collects what callers, servers and the ledger of a deployment saw, and judges
// it.

#include "caller/RecordingCaller.h"
#include "support/Deployment.h"
#include "verify/History.h"

namespace sycamoreward {

// Reads the counters of the servers that still run, and the ledger from the
// platform's table. Waits until the ledger has a record of each answered
// request, up to a limit.
History
CollectHistory(Deployment& aDeployment, const RecordingCaller& aCaller);

// Fails the test when a caller's last reply is not a success, or when the
// history has a violation.
void
ExpectAllAnswered(Deployment& aDeployment, const RecordingCaller& aCaller);

// Fails the test when the history has a violation. True errors are none.
void
ExpectNoViolations(Deployment& aDeployment, const RecordingCaller& aCaller);

} // namespace sycamoreward
