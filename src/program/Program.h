#pragma once

// What the programs of entry instances have in common: arguments, errors and
// exit codes.

#include <string>

namespace sycamoreward {

struct ProgramSpec
{
  const char* name_ = "";
  // First sentence of --help.
  const char* summary_ = "";
  const char* settingsHelp_ = "";
  // Environment variable that names the settings file when --settings does not;
  // null when there is none.
  const char* settingsVariable_ = nullptr;
  // Each takes the path of the settings file and throws UserError when it is at
  // fault. run_ returns when the program was asked to end.
  void (*check_)(const std::string& aPath) = nullptr;
  void (*run_)(const std::string& aPath) = nullptr;
};

// Returns the exit code: 0 ended on request, 1 failed, 2 wrong arguments or
// settings.
int
RunProgram(const ProgramSpec& aSpec, int aCount, char** aArguments);

} // namespace sycamoreward
