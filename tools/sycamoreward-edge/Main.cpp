// The program sycamoreward-edge: an entry instance on the platform, whose
// settings file stands in the environment variable SYCAMOREWARD_CONFIG.

#include "CloudClient.h"
#include "Endpoints.h"
#include "ManifestJson.h"
#include "RequestHeaders.h"
#include "SettingsFile.h"
#include "StoreClient.h"
#include "base/Clock.h"
#include "base/Error.h"
#include "edge/Edge.h"
#include "runtime/EventLoop.h"
#include "sycamoreward/Version.h"
#include "telemetry/Log.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

using namespace sycamoreward;

namespace {

constexpr const char* kSettingsVariable = "SYCAMOREWARD_CONFIG";
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options(
    "sycamoreward-edge",
    "Entry instance of sycamoreward on the platform. Exit codes: 0 ended on "
    "request, 1 failed, 2 wrong arguments or settings.");
  options.add_options() //
    ("settings",
     "Settings file; the default is the variable SYCAMOREWARD_CONFIG",
     cxxopts::value<std::string>())                       //
    ("check-settings", "Check the settings file and end") //
    ("version", "Print the version")                      //
    ("help", "Print this text");
  return options;
}

std::string
SettingsPath(const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("settings") != 0) {
    return aParsed["settings"].as<std::string>();
  }
  const char* path = std::getenv(kSettingsVariable);
  if (path == nullptr || *path == '\0') {
    throw UserError("start",
                    "",
                    "Neither --settings nor SYCAMOREWARD_CONFIG names a "
                    "settings file.");
  }
  return path;
}

edge::RowCodec
Rows()
{
  return { "op",
           "config",
           "servers",
           platform::DecodeManifest,
           platform::DecodeServerEntry };
}

edge::EdgeOptions
Options(const platform::PlatformSettings& aSettings, const Clock& aClock)
{
  edge::EdgeOptions options;
  options.self_.instance_ = aSettings.instance_;
  options.self_.incarnation_ =
    Incarnation(std::uint64_t(aClock.Wall().time_since_epoch().count()) / 1000);
  options.self_.failureDomain_ = aSettings.domain_;
  options.self_.region_ = aSettings.region_;
  options.peers_ = { aSettings.ip_, aSettings.firstInnerPort_ };
  options.callers_ = aSettings.callers_;
  options.self_.peerAddress_ = options.peers_;
  options.self_.callerAddress_ = options.callers_;
  options.self_.strength_ = aSettings.strength_;
  options.bounds_ = aSettings.bounds_;
  options.seed_ = std::hash<std::string>()(aSettings.instance_.Value()) ^
                  options.self_.incarnation_.Value();
  return options;
}

int
Run(const std::string& aPath)
{
  const platform::PlatformSettings settings = platform::LoadSettingsFile(aPath);
  ConfigureLogs(LogFormat::Json, "warning");
  SystemClock clock;
  EventLoop loop(clock);
  edge::DecisionLog log(loop, {});
  edge::EdgeMetrics metrics;
  edge::LogLine started("started");
  started.Add("version", std::string_view(kVersion))
    .Add("instance", settings.instance_.Value())
    .Add("domain", settings.domain_.Value());
  log.WriteImportant(started);
  platform::StoreClient store(loop, settings.store_);
  std::unique_ptr<edge::Cloud> cloud;
  if (settings.cloud_.has_value()) {
    cloud = std::make_unique<platform::CloudClient>(loop, *settings.cloud_);
  } else {
    cloud = std::make_unique<platform::NoCloud>();
  }
  edge::Edge instance(loop,
                      Options(settings, clock),
                      platform::RequestCodec(),
                      Rows(),
                      store,
                      *cloud,
                      log,
                      metrics);
  const platform::Endpoints endpoints(loop, instance, settings);
  const auto drain = [&] { instance.Drain([&loop] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, drain);
  loop.OnSignal(SIGINT, drain);
  loop.OnSignal(SIGHUP, [&] {
    edge::LogLine line("settings_signal");
    log.WriteImportant(line);
  });
  loop.Run();
  log.WriteImportant(edge::LogLine("stopped"));
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
    std::cout << "sycamoreward-edge " << kVersion << std::endl;
    return kExitOk;
  }
  const std::string path = SettingsPath(parsed);
  if (parsed.count("check-settings") != 0) {
    platform::LoadSettingsFile(path);
    std::cout << path << ": no faults" << std::endl;
    return kExitOk;
  }
  return Run(path);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // One arena and prompt return of freed memory: the resident memory of each
  // instance is billed.
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 256 * 1024);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return RunProgram(aCount, aArguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "sycamoreward-edge: " << error.what() << std::endl;
    return kExitUsage;
  } catch (const UserError& error) {
    std::cerr << "sycamoreward-edge: " << error.what() << std::endl;
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "sycamoreward-edge: " << error.what() << std::endl;
    return kExitFailed;
  }
}
