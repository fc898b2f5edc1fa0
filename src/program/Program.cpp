#include "program/Program.h"

#include "base/Error.h"
#include "sycamoreward/Version.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace sycamoreward {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

cxxopts::Options
MakeOptions(const ProgramSpec& aSpec)
{
  cxxopts::Options options(aSpec.name_,
                           std::string(aSpec.summary_) +
                             " Exit codes: 0 ended on request, 1 failed, 2 "
                             "invalid arguments or settings.");
  options.add_options()                                              //
    ("settings", aSpec.settingsHelp_, cxxopts::value<std::string>()) //
    ("check-settings", "Check the settings file and exit")           //
    ("version", "Print the version")                                 //
    ("help", "Print this text");
  return options;
}

std::string
SettingsPath(const ProgramSpec& aSpec, const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("settings") != 0) {
    return aParsed["settings"].as<std::string>();
  }
  if (aSpec.settingsVariable_ == nullptr) {
    throw UserError("start", "", "--settings FILE is missing.");
  }
  const char* path = std::getenv(aSpec.settingsVariable_);
  if (path == nullptr || *path == '\0') {
    throw UserError("start",
                    "",
                    std::string("Neither --settings nor ") +
                      aSpec.settingsVariable_ + " names a settings file.");
  }
  return path;
}

void
Start(const ProgramSpec& aSpec, int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions(aSpec);
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help() << std::endl;
    return;
  }
  if (parsed.count("version") != 0) {
    std::cout << aSpec.name_ << " " << kVersion << std::endl;
    return;
  }
  const std::string path = SettingsPath(aSpec, parsed);
  if (parsed.count("check-settings") != 0) {
    aSpec.check_(path);
    std::cout << path << ": no faults" << std::endl;
    return;
  }
  aSpec.run_(path);
}

} // namespace

int
RunProgram(const ProgramSpec& aSpec, int aCount, char** aArguments)
{
  const auto report = [&aSpec](const std::exception& aError) {
    std::cerr << aSpec.name_ << ": " << aError.what() << std::endl;
  };
  try {
    Start(aSpec, aCount, aArguments);
    return kExitOk;
  } catch (const cxxopts::exceptions::exception& error) {
    report(error);
    return kExitUsage;
  } catch (const UserError& error) {
    report(error);
    return kExitUsage;
  } catch (const std::exception& error) {
    report(error);
    return kExitFailed;
  }
}

} // namespace sycamoreward
