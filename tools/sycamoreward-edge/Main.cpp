// sycamoreward-edge: runs one entry instance on the platform. The environment
// variable SYCAMOREWARD_CONFIG names the default settings file.

#include "CloudClient.h"
#include "Endpoints.h"
#include "ManifestJson.h"
#include "RequestHeaders.h"
#include "SettingsFile.h"
#include "StoreClient.h"
#include "base/Clock.h"
#include "edge/Edge.h"
#include "limits/ClientAccounts.h"
#include "program/Program.h"
#include "runtime/EventLoop.h"
#include "sycamoreward/Version.h"
#include "telemetry/Log.h"

#include <csignal>
#include <malloc.h>

using namespace sycamoreward;

namespace {

edge::RowCodec
MakeRowCodec()
{
  return { "op",
           "config",
           "servers",
           platform::DecodeManifest,
           platform::DecodeServerEntry };
}

edge::EdgeOptions
MakeEdgeOptions(const platform::PlatformSettings& aSettings,
                const Clock& aClock)
{
  edge::EdgeOptions options;
  options.self_.instance_ = aSettings.instance_;
  options.self_.incarnation_ =
    Incarnation(std::uint64_t(aClock.Wall().time_since_epoch().count()) / 1000);
  options.self_.failureDomain_ = aSettings.domain_;
  options.self_.region_ = aSettings.region_;
  options.peers_ = { aSettings.ip_, aSettings.firstInternalPort_ };
  options.callers_ = aSettings.callers_;
  options.self_.peerAddress_ = options.peers_;
  options.self_.callerAddress_ = options.callers_;
  options.self_.strength_ = aSettings.strength_;
  options.bounds_ = aSettings.bounds_;
  options.seed_ = std::hash<std::string>()(aSettings.instance_.Value()) ^
                  options.self_.incarnation_.Value();
  return options;
}

void
RunInstance(const std::string& aPath)
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
  const auto clients = std::make_shared<ClientAccounts>(
    clock, DeriveClientBounds(settings.machine_));
  edge::Edge instance(loop,
                      MakeEdgeOptions(settings, clock),
                      platform::RequestCodec(),
                      MakeRowCodec(),
                      store,
                      *cloud,
                      log,
                      metrics,
                      clients);
  const platform::Endpoints endpoints(loop, instance, clients, settings);
  const auto drain = [&] { instance.Drain([&loop] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, drain);
  loop.OnSignal(SIGINT, drain);
  loop.OnSignal(SIGHUP, [&] {
    edge::LogLine line("settings_signal");
    log.WriteImportant(line);
  });
  loop.Run();
  log.WriteImportant(edge::LogLine("stopped"));
}

void
CheckSettings(const std::string& aPath)
{
  platform::LoadSettingsFile(aPath);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // Resident memory is billed for each instance, so malloc uses one arena and
  // returns freed memory early.
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 256 * 1024);
  std::signal(SIGPIPE, SIG_IGN);
  return RunProgram({ "sycamoreward-edge",
                      "Entry instance of sycamoreward on the platform.",
                      "Settings file; defaults to the environment variable "
                      "SYCAMOREWARD_CONFIG",
                      "SYCAMOREWARD_CONFIG",
                      CheckSettings,
                      RunInstance },
                    aCount,
                    aArguments);
}
