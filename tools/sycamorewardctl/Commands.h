#pragma once

// The commands of sycamorewardctl.

#include <ostream>

namespace sycamoreward {

// Exit codes.
constexpr int kExitDone = 0;
// Of diff: the files and the server differ. "journal verify" also returns 1 for
// a broken chain, and explain-request for a request that no line names.
constexpr int kExitDiffers = 1;
constexpr int kExitError = 2;

// Runs the command that the arguments state and returns its exit code. Reports
// errors on aErr and does not throw.
int
RunCtl(int aCount,
       const char* const* aArguments,
       std::ostream& aOut,
       std::ostream& aErr);

} // namespace sycamoreward
