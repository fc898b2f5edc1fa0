#include "support/PlatformFixture.h"

#include "base/Error.h"
#include "peer/SocketAddress.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sycamoreward {

namespace {

// Ports below the range from which the system takes the local ports of
// connections, so that no connection takes one between the choice and its use.
constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kPorts = 20000;

bool
IsFree(std::uint16_t aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_storage storage{};
  const socklen_t length = FillSocketAddress({ "127.0.0.1", aPort }, storage);
  const bool isFree =
    bind(descriptor, reinterpret_cast<sockaddr*>(&storage), length) == 0;
  close(descriptor);
  return isFree;
}

// Returns a port that is currently free. Processes start at different ports, so
// that tests which run at the same time do not choose the same one.
std::uint16_t
FreePort()
{
  // Adjacent process ids are several tests apart.
  constexpr std::uint32_t kPortsPerProcess = 61;
  static std::uint32_t next = std::uint32_t(getpid()) * kPortsPerProcess;
  for (std::uint32_t tries = 0; tries < kPorts; ++tries) {
    const auto port = std::uint16_t(kFirstPort + next++ % kPorts);
    if (IsFree(port)) {
      return port;
    }
  }
  throw InternalError("choose a port", "127.0.0.1", "No port is free.");
}

std::string
Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

std::string
LocalAddress(std::uint16_t aPort)
{
  return Quoted("127.0.0.1:" + std::to_string(aPort));
}

nlohmann::json
RouteJson(const std::string& aPrefix,
          const char* aType,
          const char* aService,
          int aAttempts,
          bool aIsResumable)
{
  return { { "name", aPrefix },
           { "host", "office.example" },
           { "prefix", aPrefix },
           { "type", aType },
           { "timeout-ms", 4000 },
           { "slo-ms", 1500 },
           { "priority", 1 },
           { "service", aService },
           { "max-attempts", aAttempts },
           { "public", false },
           { "resumable", aIsResumable },
           { "itl-target-ms", 400 } };
}

} // namespace

PlatformFixture::PlatformFixture(const PlatformFixtureOptions& aOptions)
  : options_(aOptions)
{
  char name[] = "/tmp/platform-world-XXXXXX";
  directory_ = mkdtemp(name);
  PutDeployment(1);
  AddBackends(options_.engines_, "engine", options_.events_, engines_);
  AddBackends(options_.desks_, "desk", 0, desks_);
  for (int index = 0; index < options_.edges_; ++index) {
    ports_.push_back(
      { FreePort(), FreePort(), FreePort(), FreePort(), FreePort() });
    if (options_.hasStoreLinks_) {
      storeLinks_.push_back(
        std::make_unique<CuttableLink>(loop_, store_.BoundAddress()));
    }
  }
  edges_.resize(std::size_t(options_.edges_));
  for (std::size_t index = 0; index < edges_.size(); ++index) {
    StartEdge(index);
  }
}

PlatformFixture::~PlatformFixture()
{
  edges_.clear();
  for (std::size_t index = 0; index < ports_.size(); ++index) {
    unlink((directory_ + "/" + std::to_string(index)).c_str());
    unlink((directory_ + "/" + std::to_string(index) + ".log").c_str());
  }
  rmdir(directory_.c_str());
}

void
PlatformFixture::AddBackends(
  int aCount,
  const char* aService,
  int aEvents,
  std::vector<std::unique_ptr<standin::BackendStandIn>>& aList)
{
  for (int index = 0; index < aCount; ++index) {
    standin::BackendOptions options;
    options.id_ = std::string(aService) + "-" + std::to_string(index);
    options.service_ = aService;
    options.domain_ = index % 2 == 0 ? "north" : "south";
    options.events_ = aEvents;
    aList.push_back(std::make_unique<standin::BackendStandIn>(loop_, options));
    if (options_.hasBackendLinks_) {
      backendLinks_[options.id_] =
        std::make_unique<CuttableLink>(loop_, aList.back()->BoundAddress());
    }
    ListBackend(*aList.back(), "ready");
  }
}

void
PlatformFixture::ListBackend(const standin::BackendStandIn& aBackend,
                             const char* aState)
{
  auto entry = nlohmann::json::parse(aBackend.Entry(aState));
  const auto link = backendLinks_.find(aBackend.Options().id_);
  if (link != backendLinks_.end()) {
    entry["address"] = ToString(link->second->ListenAddress());
  }
  store_.Put("servers", aBackend.Options().id_, entry.dump());
}

void
PlatformFixture::PutDeployment(std::uint64_t aVersion,
                               const std::vector<std::string>& aExtraRoutes)
{
  nlohmann::json routes = nlohmann::json::array();
  routes.push_back(RouteJson("/resumable/", "streaming", "engine", 2, true));
  routes.push_back(RouteJson("/stream/", "streaming", "engine", 1, false));
  routes.push_back(RouteJson("/once/", "non_idempotent", "desk", 1, false));
  routes.push_back(RouteJson("/repeatable/", "idempotent", "desk", 2, false));
  for (const std::string& prefix : aExtraRoutes) {
    routes.push_back(RouteJson(prefix, "idempotent", "desk", 2, false));
  }
  const nlohmann::json services = {
    { { "name", "engine" },
      { "max-connections", 100 },
      { "backend", { { "slots", 16 }, { "kv-capacity", 300000 } } } },
    { { "name", "desk" }, { "max-connections", 100 } }
  };
  const nlohmann::json limits = {
    { "max-header-bytes", options_.maxHeaderBytes_ },
    { "max-body-bytes", options_.maxBodyBytes_ },
    { "header-timeout-ms", options_.requestTimeoutMs_ },
    { "idle-timeout-ms", 5000 }
  };
  const nlohmann::json workspaces = { { { "name", "one" },
                                        { "api-keys", { kKey } },
                                        { "unit", "tokens" },
                                        { "uncached-tokens", 10 },
                                        { "rate-per-s", 100000 },
                                        { "burst", 100000 } } };
  store_.Put("op",
             "config",
             nlohmann::json{ { "version", aVersion },
                             { "routes", routes },
                             { "services", services },
                             { "limits", limits },
                             { "tenants", workspaces } }
               .dump());
}

std::string
PlatformFixture::Settings(std::size_t aIndex) const
{
  const EdgePorts& ports = ports_[aIndex];
  const Address store = options_.hasStoreLinks_
                          ? storeLinks_[aIndex]->ListenAddress()
                          : store_.BoundAddress();
  std::string text;
  text += "node-name = " + Quoted("edge-" + std::to_string(aIndex)) + "\n";
  text += "ip = \"127.0.0.1\"\n";
  text += "zone = " + Quoted(aIndex % 2 == 0 ? "north" : "south") + "\n";
  text += "region = \"coast\"\n";
  text += "internal-ports = [" + std::to_string(ports.inner_) + "," +
          std::to_string(ports.metrics_) + "]\n";
  text += "[listen]\nfrontend = " + LocalAddress(ports.callers_) +
          "\nreadiness = " + LocalAddress(ports.readiness_) +
          "\nregistry = " + LocalAddress(ports.addresses_) + "\n";
  text += "[bounds]\nretry-ratio = 0.2\nretry-extra = 52\nlease-ms = 1000\n"
          "report-window-s = 1\ngrace-s = 4\n";
  text += "[limits]\n";
  if (options_.memoryMegabytes_ > 0) {
    text += "memory-mb = " + std::to_string(options_.memoryMegabytes_) + "\n";
  }
  if (options_.maxDescriptors_ > 0) {
    text += "max-fds = " + std::to_string(options_.maxDescriptors_) + "\n";
  }
  text += "[platform]\naddress = " + Quoted(ToString(store)) + "\n";
  text +=
    "[cloud]\naddress = " + Quoted(ToString(cloud_.BoundAddress())) + "\n";
  return text;
}

void
PlatformFixture::StartEdge(std::size_t aIndex)
{
  const std::string path = directory_ + "/" + std::to_string(aIndex);
  std::ofstream(path) << Settings(aIndex);
  // The previous process still holds the ports.
  edges_[aIndex].reset();
  edges_[aIndex] = std::make_unique<ChildProcess>(
    "sycamoreward-edge",
    std::vector<std::string>{ "--settings", path },
    path + ".log",
    options_.keepsLogs_);
}

bool
PlatformFixture::RunUntil(const std::function<bool()>& aDone, double aSeconds)
{
  return loop_.RunUntil(aDone, Duration(Duration::rep(aSeconds * 1e6)));
}

void
PlatformFixture::RunFor(double aSeconds)
{
  RunUntil([] { return false; }, aSeconds);
}

Address
PlatformFixture::CallerAddress(std::size_t aIndex) const
{
  return { "127.0.0.1", ports_[aIndex].callers_ };
}

std::shared_ptr<CallerRun>
PlatformFixture::Ask(std::size_t aEdge,
                     const std::string& aPath,
                     const std::string& aRequest,
                     const std::string& aKey,
                     const std::shared_ptr<http::BackendChannel>& aKept)
{
  auto run = std::make_shared<CallerRun>();
  run->request_ = aRequest;
  run->path_ = aPath;
  if (aKept != nullptr && aKept->CanReuse()) {
    run->channel_ = aKept;
  } else {
    run->channel_ =
      std::make_shared<http::BackendChannel>(loop_, CallerAddress(aEdge));
    run->channel_->SetUp();
  }
  http::RequestHead head;
  head.method_ = "POST";
  head.target_ = aPath;
  const std::string body = body_.empty() ? "body of " + aRequest : body_;
  head.fields_ = { { "Host", "office.example" },
                   { "X-Request-Id", aRequest },
                   { "X-Deadline-Ms", "3000" },
                   { "Api-Key", aKey },
                   { "X-Tenant", "forged" },
                   { "Content-Length", std::to_string(body.size()) } };
  if (!parts_.empty()) {
    head.fields_.push_back({ "X-Prefix-Hash", parts_ });
    head.fields_.push_back({ "X-Token-Usage", "20,5" });
  }
  http::BackendChannel::Callbacks callbacks;
  const std::weak_ptr<CallerRun> weak = run;
  callbacks.matchesRequest_ = [](const http::ResponseHead&) { return true; };
  callbacks.onHead_ = [weak](const http::ResponseHead& aHead,
                             const http::Framing&) {
    if (const auto self = weak.lock()) {
      self->status_ = aHead.status_;
      if (const std::string* value = aHead.Find("X-Response-Signature")) {
        self->signature_ = *value;
      }
      if (const std::string* value = aHead.Find("Retry-After")) {
        self->retryAfter_ = *value;
      }
    }
  };
  callbacks.onBody_ = [weak](std::string_view aBytes) {
    if (const auto self = weak.lock()) {
      self->body_.append(aBytes);
    }
  };
  callbacks.onEnd_ = [weak] {
    if (const auto self = weak.lock()) {
      self->isWhole_ = true;
      self->isDone_ = true;
    }
  };
  callbacks.onFailed_ = [weak](http::ChannelFailure) {
    if (const auto self = weak.lock()) {
      self->isDone_ = true;
    }
  };
  std::string text = http::Serialize(head);
  constexpr std::string_view kVersion = "HTTP/1.1";
  text.replace(text.find(kVersion), kVersion.size(), callerVersion_);
  run->channel_->Send("POST", std::move(text), body, std::move(callbacks));
  return run;
}

std::string
PlatformFixture::Get(const Address& aAddress, const std::string& aTarget)
{
  auto channel = std::make_shared<http::BackendChannel>(loop_, aAddress);
  channel->SetUp();
  bool isDone = false;
  std::string text;
  http::BackendChannel::Callbacks callbacks;
  callbacks.matchesRequest_ = [](const http::ResponseHead&) { return true; };
  callbacks.onHead_ = [&](const http::ResponseHead& aHead,
                          const http::Framing&) {
    text = std::to_string(aHead.status_) + " ";
  };
  callbacks.onBody_ = [&](std::string_view aBytes) { text.append(aBytes); };
  callbacks.onEnd_ = [&] { isDone = true; };
  callbacks.onFailed_ = [&](http::ChannelFailure) { isDone = true; };
  channel->Send("GET",
                "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n",
                "",
                std::move(callbacks));
  RunUntil([&] { return isDone; }, 2);
  channel->Cut();
  return text;
}

bool
PlatformFixture::IsReady(std::size_t aIndex)
{
  return Get({ "127.0.0.1", ports_[aIndex].readiness_ }, "/sycamoreward/readyz")
           .rfind("200", 0) == 0;
}

bool
PlatformFixture::WaitReady(double aSeconds)
{
  const MonotonicTime end =
    clock_.Now() + Duration(Duration::rep(aSeconds * 1e6));
  while (clock_.Now() < end) {
    bool isReady = true;
    for (std::size_t index = 0; index < edges_.size(); ++index) {
      isReady = isReady && IsReady(index);
    }
    if (isReady) {
      return true;
    }
    RunFor(0.1);
  }
  return false;
}

void
PlatformFixture::CrashServersOn(const std::string& aPart,
                                const std::string& aBody)
{
  for (auto* list : { &engines_, &desks_ }) {
    for (auto& backend : *list) {
      backend->crashPart_ = aPart;
      backend->crashBody_ = aBody;
      backend->onRestarted_ = [this, server = backend.get()] {
        ListBackend(*server, "ready");
      };
    }
  }
}

std::vector<MonotonicTime>
PlatformFixture::Crashes() const
{
  std::vector<MonotonicTime> crashes;
  for (const auto* list : { &engines_, &desks_ }) {
    for (const auto& backend : *list) {
      crashes.insert(
        crashes.end(), backend->crashes_.begin(), backend->crashes_.end());
    }
  }
  std::sort(crashes.begin(), crashes.end());
  return crashes;
}

std::size_t
PlatformFixture::CountRuns(const std::string& aPrefix) const
{
  std::size_t count = 0;
  for (const auto* list : { &engines_, &desks_ }) {
    for (const auto& backend : *list) {
      count += std::size_t(std::count_if(
        backend->runs_.begin(), backend->runs_.end(), [&](const auto& aRun) {
          return aRun.request_.rfind(aPrefix, 0) == 0;
        }));
    }
  }
  return count;
}

void
PlatformFixture::ListServer(const std::string& aId,
                            const char* aService,
                            const Address& aAddress)
{
  store_.Put("servers",
             aId,
             nlohmann::json{ { "service", aService },
                             { "address", ToString(aAddress) },
                             { "zone", "north" },
                             { "version", "v1" },
                             { "slots", 16 },
                             { "state", "ready" },
                             { "cold-remaining-ms", 0 },
                             { "born", 1000 },
                             { "sequence", 1 } }
               .dump());
}

std::vector<standin::BackendRun>
PlatformFixture::RunsOf(const std::string& aRequest) const
{
  std::vector<standin::BackendRun> runs;
  for (const auto* list : { &engines_, &desks_ }) {
    for (const auto& backend : *list) {
      for (const standin::BackendRun& run : backend->runs_) {
        if (run.request_ == aRequest) {
          runs.push_back(run);
        }
      }
    }
  }
  return runs;
}

} // namespace sycamoreward
