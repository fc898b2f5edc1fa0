#pragma once

// Command line, error reporting and exit codes shared by the programs that run
// entry instances.

#include <string>

namespace sycamoreward {

// Describes one program.
struct ProgramSpec
{
  const char* name_ = "";
  // First sentence of --help.
  const char* summary_ = "";
  const char* settingsHelp_ = "";
  // Environment variable with the path of the settings file, used when
  // --settings is not given. Null when the program has none.
  const char* settingsVariable_ = nullptr;
  // Both take the path of the settings file and throw UserError when its
  // contents are invalid. run_ returns when the program was asked to exit.
  void (*check_)(const std::string& aPath) = nullptr;
  void (*run_)(const std::string& aPath) = nullptr;
};

// Parses the arguments and runs the program. Returns the exit code: 0 ended on
// request, 1 failed, 2 invalid arguments or settings.
int
RunProgram(const ProgramSpec& aSpec, int aCount, char** aArguments);

} // namespace sycamoreward
