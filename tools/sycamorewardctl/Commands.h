#pragma once

// The commands of sycamorewardctl.

#include <ostream>

namespace sycamoreward {

// Exit codes.
constexpr int kExitDone = 0;
// Only of diff: the files and the server differ.
constexpr int kExitDiffers = 1;
constexpr int kExitError = 2;

// Runs the command of the arguments and returns its exit code. Throws nothing.
int
RunCtl(int aCount,
       const char* const* aArguments,
       std::ostream& aOut,
       std::ostream& aErr);

} // namespace sycamoreward
