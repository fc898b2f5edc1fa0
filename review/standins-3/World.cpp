#include "World.h"

#include "peer/SocketAddress.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

bool
IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

std::uint16_t
FreePort()
{
  // Below the range from which the system takes the local ports of connections.
  static std::uint32_t next = std::uint32_t(getpid()) * 61;
  for (int tries = 0; tries < 20000; ++tries) {
    const auto port = std::uint16_t(10000 + next++ % 20000);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_storage storage{};
    const socklen_t length = FillSocketAddress({ "127.0.0.1", port }, storage);
    const bool isFree =
      bind(descriptor, reinterpret_cast<sockaddr*>(&storage), length) == 0;
    close(descriptor);
    if (isFree) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

std::string
Field(const http::CallerExchange& aExchange, const char* aName)
{
  const std::string* value = aExchange.head_.Find(aName);
  return value == nullptr ? "" : *value;
}

EdgeProcess::EdgeProcess(std::string aName,
                         std::string aZone,
                         std::string aDirectory,
                         Address aStore,
                         Address aCloud,
                         EdgeOptions aOptions)
  : callers_{ "127.0.0.1", FreePort() }
  , readiness_{ "127.0.0.1", FreePort() }
  , registry_{ "127.0.0.1", FreePort() }
  , name_(std::move(aName))
  , zone_(std::move(aZone))
  , directory_(std::move(aDirectory))
  , store_(std::move(aStore))
  , cloud_(std::move(aCloud))
  , options_(aOptions)
  , inner_(FreePort())
  , metrics_(FreePort())
{
}

EdgeProcess::~EdgeProcess()
{
  Kill();
}

std::string
EdgeProcess::Settings() const
{
  std::ostringstream text;
  const auto quoted = [](const Address& aAddress) {
    return "\"" + ToString(aAddress) + "\"";
  };
  text << "node-name = \"" << name_ << "\"\nrole = \"edge\"\n"
       << "machine-class = \"edge\"\nserves = [\"edge\",\"registry\"]\n"
       << "ip = \"127.0.0.1\"\nzone = \"" << zone_ << "\"\n"
       << "region = \"scot-central\"\n"
       << "internal-ports = [" << inner_ << "," << metrics_ << "]\n"
       << "bootstrap = true\nheartbeat-ms = 1200\n"
       << "[listen]\nfrontend = " << quoted(callers_)
       << "\nreadiness = " << quoted(readiness_)
       << "\nregistry = " << quoted(registry_) << "\n"
       << "[limits]\ncpu-share = 0.25\ncpu-cores = 1\nmemory-mb = "
       << options_.memoryMegabytes_
       << "\nmax-fds = " << options_.maxDescriptors_ << "\n"
       << "[bounds]\ncontact-ms = 3000\ndrain-ms = 2000\ngrace-s = 8\n"
       << "loss-slack-ms = 200\nconfig-apply-ms = 2000\ndowngrade-ms = 250\n"
       << "retry-ratio = 0.2\nretry-window-s = 10\nretry-extra = 52\n"
       << "quota-window-s = 8\nquota-overage = 0.1\nquota-slack = 110000\n"
       << "fencing = true\nlease-ms = 3000\nthaw-ms = 300\nreport-window-s = "
       << options_.usageWindowSeconds_
       << "\nusage-late-s = 10\nrecovery-s = 12\nttl_max_s = 5\n"
       << "[platform]\naddress = " << quoted(store_)
       << "\nform = \"table\"\nwrites-per-s = 400\nreads-per-s = 2000\n"
       << "[cloud]\naddress = " << quoted(cloud_)
       << "\nrate-per-s = 50.0\nduty-per-s = 50.0\n";
  return text.str();
}

void
EdgeProcess::Start()
{
  Kill();
  const std::string path = directory_ + "/" + name_ + ".toml";
  std::ofstream(path) << Settings();
  const std::string log = directory_ + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("SYCAMOREWARD_CONFIG", path.c_str(), 1);
    char program[] = "target/bin/sycamoreward-edge";
    char* arguments[] = { program, nullptr };
    execv(program, arguments);
    _exit(127);
  }
}

void
EdgeProcess::Signal(int aSignal) const
{
  if (pid_ > 0) {
    kill(pid_, aSignal);
  }
}

void
EdgeProcess::Kill()
{
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool
EdgeProcess::HasEnded(int& aStatus)
{
  if (pid_ > 0 && waitpid(pid_, &aStatus, WNOHANG) == pid_) {
    pid_ = -1;
    return true;
  }
  return false;
}

std::uint64_t
EdgeProcess::ResidentBytes() const
{
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  file >> size >> resident;
  return resident * std::uint64_t(sysconf(_SC_PAGESIZE));
}

World::World(const std::string& aRecord)
  : start_(clock_.Now())
  , record_(aRecord)
{
  char name[] = "/tmp/review-3-XXXXXX";
  if (mkdtemp(name) == nullptr || !record_) {
    throw std::runtime_error("no folder or no record");
  }
  directory_ = name;
  signal(SIGPIPE, SIG_IGN);
}

World::~World()
{
  edges_.clear();
  if (std::getenv("KEEP") == nullptr) {
    const std::string command = "rm -rf " + directory_;
    (void)!std::system(command.c_str());
  }
}

EdgeProcess&
World::AddEdge(const EdgeOptions& aOptions)
{
  const std::size_t index = edges_.size();
  const char* zones[] = { "forth-a", "forth-b", "forth-c" };
  edges_.push_back(
    std::make_unique<EdgeProcess>("edge-" + std::to_string(index),
                                  zones[index % 3],
                                  directory_,
                                  store_.BoundAddress(),
                                  cloud_.BoundAddress(),
                                  aOptions));
  edges_.back()->Start();
  return *edges_.back();
}

void
World::ListEngine(const std::string& aId,
                  const std::string& aService,
                  const Address& aAddress,
                  const std::string& aZone,
                  const char* aState,
                  int aSlots)
{
  store_.Put("servers",
             aId,
             nlohmann::json{ { "service", aService },
                             { "address", ToString(aAddress) },
                             { "zone", aZone },
                             { "version", "v1" },
                             { "slots", aSlots },
                             { "state", aState },
                             { "cold-remaining-ms", 0 },
                             { "born", 1700000000000 },
                             { "sequence", 1 } }
               .dump());
}

nlohmann::json
World::Route(const std::string& aPrefix,
             const char* aType,
             const char* aService,
             int aAttempts,
             bool aIsResumable,
             int aTimeoutMs,
             int aObjectiveMs)
{
  return { { "name", aPrefix },
           { "host", "office.example" },
           { "prefix", aPrefix },
           { "type", aType },
           { "timeout-ms", aTimeoutMs },
           { "slo-ms", aObjectiveMs },
           { "priority", 1 },
           { "service", aService },
           { "max-attempts", aAttempts },
           { "public", false },
           { "resumable", aIsResumable },
           { "itl-target-ms", 400 } };
}

void
World::PutManifest(const nlohmann::json& aRoutes,
                   const nlohmann::json& aServices,
                   int aIdleTimeoutMs)
{
  nlohmann::json tenants = nlohmann::json::array();
  for (const char* name : { "one", "two" }) {
    tenants.push_back({ { "name", name },
                        { "api-keys", { std::string("key-") + name } },
                        { "unit", "tokens" },
                        { "uncached-tokens", 200 },
                        { "rate-per-s", 262933 },
                        { "burst", 262933 } });
  }
  store_.Put("op",
             "config",
             nlohmann::json{ { "version", ++manifest_ },
                             { "routes", aRoutes },
                             { "services", aServices },
                             { "limits",
                               { { "max-header-bytes", 16384 },
                                 { "max-body-bytes", 4194304 },
                                 { "header-timeout-ms", 3000 },
                                 { "idle-timeout-ms", aIdleTimeoutMs } } },
                             { "tenants", tenants } }
               .dump());
}

bool
World::WaitReady(double aSeconds)
{
  const double end = Now() + aSeconds;
  while (Now() < end) {
    bool isReady = true;
    for (const auto& edge : edges_) {
      isReady =
        isReady &&
        Get(edge->readiness_, "/sycamoreward/readyz").rfind("200", 0) == 0;
    }
    if (isReady) {
      return true;
    }
    RunFor(0.1);
  }
  return false;
}

std::shared_ptr<Ask>
World::Send(const Address& aEdge,
            const AskOptions& aOptions,
            const std::shared_ptr<http::BackendChannel>& aKept)
{
  auto ask = std::make_shared<Ask>();
  ask->id_ = aOptions.id_;
  ask->sentAt_ = Now();
  const bool isKept = aKept != nullptr && aKept->CanReuse();
  ask->channel_ =
    isKept ? aKept : std::make_shared<http::BackendChannel>(loop_, aEdge);
  if (!isKept) {
    ask->channel_->SetUp();
  }
  http::RequestHead head;
  head.method_ = aOptions.method_;
  head.target_ = aOptions.path_;
  head.fields_ = { { "Host", "office.example" },
                   { "X-Request-Id", aOptions.id_ },
                   { "X-Deadline-Ms", std::to_string(aOptions.deadlineMs_) },
                   { "Api-Key", aOptions.key_ } };
  for (const auto& field : aOptions.fields_) {
    head.fields_.push_back(field);
  }
  if (aOptions.method_ != "GET") {
    head.fields_.push_back(
      { "Content-Length", std::to_string(aOptions.body_.size()) });
  }
  http::BackendChannel::Callbacks callbacks;
  const std::weak_ptr<Ask> weak = ask;
  callbacks.matchesRequest_ = [](const http::ResponseHead&) { return true; };
  callbacks.onHead_ = [weak](const http::ResponseHead& aHead,
                             const http::Framing&) {
    if (const auto self = weak.lock()) {
      self->status_ = aHead.status_;
      if (const std::string* value = aHead.Find("X-Response-Signature")) {
        self->signature_ = *value;
      }
    }
  };
  callbacks.onBody_ = [weak](std::string_view aBytes) {
    if (const auto self = weak.lock()) {
      self->body_.append(aBytes);
    }
  };
  callbacks.onEnd_ = [this, weak] {
    if (const auto self = weak.lock()) {
      self->isWhole_ = true;
      self->isDone_ = true;
      self->endedAt_ = Now();
    }
  };
  callbacks.onFailed_ = [this, weak](http::ChannelFailure) {
    if (const auto self = weak.lock()) {
      self->isDone_ = true;
      self->endedAt_ = Now();
    }
  };
  ask->channel_->Send(aOptions.method_,
                      http::Serialize(head),
                      aOptions.body_,
                      std::move(callbacks));
  return ask;
}

std::string
World::Get(const Address& aAddress, const std::string& aTarget)
{
  AskOptions options;
  options.method_ = "GET";
  options.path_ = aTarget;
  options.id_ = "probe";
  const auto ask = Send(aAddress, options);
  RunUntil([&] { return ask->isDone_; }, 2);
  ask->channel_->Cut();
  return std::to_string(ask->status_) + " " + ask->body_;
}

bool
World::RunUntil(const std::function<bool()>& aDone, double aSeconds)
{
  return loop_.RunUntil(aDone, Duration(Duration::rep(aSeconds * 1e6)));
}

void
World::RunFor(double aSeconds)
{
  RunUntil([] { return false; }, aSeconds);
}

double
World::Now() const
{
  return double((clock_.Now() - start_).count()) / 1e6;
}

void
World::Record(const std::string& aText)
{
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f s  ", Now());
  record_ << time << aText << "\n";
}

int
World::Finish(int aResult, const std::string& aWhy)
{
  for (const auto& edge : edges_) {
    edge->Kill();
  }
  Record(std::string("result ") + std::to_string(aResult) + ": " + aWhy);
  record_.flush();
  std::cout << aWhy << std::endl;
  return aResult;
}

int
RunScene(const std::function<int(World&)>& aScene,
         int aCount,
         char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: " << aArguments[0] << " RECORD" << std::endl;
    return kNotRun;
  }
  try {
    World world(aArguments[1]);
    return aScene(world);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return kNotRun;
  }
}

} // namespace review
