// The program sycamorewardd: one entry instance.

#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "settings/Settings.h"
#include "sycamoreward/EntryInstance.h"
#include "sycamoreward/Version.h"
#include "telemetry/Log.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

using namespace sycamoreward;

namespace {

// Exit codes, also given by --help.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options(
    "sycamorewardd",
    "Entry instance of sycamoreward. Exit codes: 0 ended on request, 1 failed, "
    "2 wrong arguments or settings.");
  options.add_options()                                                  //
    ("settings", "Settings file in YAML", cxxopts::value<std::string>()) //
    ("check-settings", "Check the settings file and end")                //
    ("version", "Print the version")                                     //
    ("help", "Print this text");
  return options;
}

void
RereadLogLevel(const std::string& aFile)
{
  try {
    const Settings settings = LoadSettings(aFile);
    ConfigureLogs(settings.log_.format_, settings.log_.level_);
    LogFor("entry")->info("The log level is {} now.", settings.log_.level_);
  } catch (const Error& error) {
    LogFor("entry")->error("The settings can't be read again: {}",
                           error.what());
  }
}

int
RunInstance(const std::string& aFile)
{
  const Settings settings = LoadSettings(aFile);
  ConfigureLogs(settings.log_.format_, settings.log_.level_);
  SystemClock clock;
  EventLoop loop(clock);
  EntryInstance instance(loop, settings);
  const auto drain = [&] { instance.Drain([&loop] { loop.Stop(); }); };
  instance.OnReclaimed([&loop] { loop.Stop(); });
  loop.OnSignal(SIGTERM, drain);
  loop.OnSignal(SIGINT, drain);
  loop.OnSignal(SIGHUP, [&] { RereadLogLevel(aFile); });
  std::cout << nlohmann::json{ { "callers", instance.CallerAddress() },
                               { "operators", instance.OperatorAddress() },
                               { "peers", instance.PeerAddress() } }
            << std::endl;
  loop.Run();
  return kExitOk;
}

int
RunProgram(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help() << std::endl;
    return kExitOk;
  }
  if (parsed.count("version") != 0) {
    std::cout << "sycamorewardd " << kVersion << std::endl;
    return kExitOk;
  }
  if (parsed.count("settings") == 0) {
    std::cerr << "sycamorewardd: --settings FILE is missing." << std::endl;
    return kExitUsage;
  }
  const std::string file = parsed["settings"].as<std::string>();
  if (parsed.count("check-settings") != 0) {
    LoadSettings(file);
    std::cout << file << ": no faults" << std::endl;
    return kExitOk;
  }
  return RunInstance(file);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return RunProgram(aCount, aArguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "sycamorewardd: " << error.what() << std::endl;
    return kExitUsage;
  } catch (const UserError& error) {
    std::cerr << "sycamorewardd: " << error.what() << std::endl;
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "sycamorewardd: " << error.what() << std::endl;
    return kExitFailed;
  }
}
