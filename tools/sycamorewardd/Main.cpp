// sycamorewardd: runs one entry instance.

#include "base/Clock.h"
#include "program/Program.h"
#include "runtime/EventLoop.h"
#include "settings/Settings.h"
#include "sycamoreward/EntryInstance.h"
#include "telemetry/Log.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <malloc.h>

using namespace sycamoreward;

namespace {

// Applies the log format and level of the settings file; other settings need a
// restart.
void
ReloadLogLevel(const std::string& aFile)
{
  try {
    const Settings settings = LoadSettings(aFile);
    ConfigureLogs(settings.log_.format_, settings.log_.level_);
    LogFor("entry")->info("The log level was set to {}.", settings.log_.level_);
  } catch (const Error& error) {
    LogFor("entry")->error("The settings can't be reloaded: {}", error.what());
  }
}

void
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
  loop.OnSignal(SIGHUP, [&] { ReloadLogLevel(aFile); });
  std::cout << nlohmann::json{ { "callers", instance.CallerAddress() },
                               { "operators", instance.OperatorAddress() },
                               { "peers", instance.PeerAddress() } }
            << std::endl;
  loop.Run();
}

void
CheckSettings(const std::string& aFile)
{
  LoadSettings(aFile);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // Memory is bounded by what callers hold, so malloc uses one arena and
  // returns freed memory early.
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 256 * 1024);
  return RunProgram({ "sycamorewardd",
                      "Entry instance of sycamoreward.",
                      "Settings file in YAML",
                      nullptr,
                      CheckSettings,
                      RunInstance },
                    aCount,
                    aArguments);
}
