#include "World.h"

#include "http/Head.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();
std::mutex recordMutex;

std::string
Field(const sycamoreward::http::CallerExchange& aExchange, const char* aName)
{
  const std::string* value = aExchange.head_.Find(aName);
  return value == nullptr ? "" : *value;
}

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A port below those that the system gives to connections.
std::uint16_t
FreePort()
{
  static std::uint32_t next = std::uint32_t(getpid()) * 61;
  for (int tries = 0; tries < 20000; ++tries) {
    const auto port = std::uint16_t(10000 + next++ % 20000);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool isFree = bind(descriptor,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof address) == 0;
    close(descriptor);
    if (isFree) {
      return port;
    }
  }
  std::fprintf(stderr, "No port is free.\n");
  std::exit(kCouldNotRun);
}

} // namespace

double
Now()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
    .count();
}

bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

void
Record(const char* aFormat, ...)
{
  const std::lock_guard<std::mutex> lock(recordMutex);
  static std::FILE* file = std::fopen("record.txt", "w");
  if (file == nullptr) {
    std::fprintf(stderr, "record.txt can't be written.\n");
    std::exit(kCouldNotRun);
  }
  std::fprintf(file, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, aFormat);
  std::vfprintf(file, aFormat, arguments);
  va_end(arguments);
  std::fputc('\n', file);
  std::fflush(file);
}

Engine::Engine(EventLoop& aLoop, std::string aId, std::string aService)
  : id_(std::move(aId))
  , loop_(aLoop)
  , service_(std::move(aService))
{
  Listen({ "127.0.0.1", 0 });
  address_ = server_->BoundAddress();
}

void
Engine::Listen(const sycamoreward::Address& aAddress)
{
  server_ = std::make_unique<sycamoreward::http::CallerServer>(
    loop_,
    aAddress,
    [this](const std::shared_ptr<sycamoreward::http::CallerExchange>& aAsked) {
      Handle(aAsked);
    });
}

void
Engine::Crash()
{
  if (server_ == nullptr) {
    return;
  }
  Record("engine %s crashes", id_.c_str());
  crashes_.push_back(Now());
  server_.reset();
  loop_.CallAfter(restartDelay_, [this] {
    ++born_;
    Listen(address_);
    Record("engine %s is back", id_.c_str());
    if (onRestarted_) {
      onRestarted_();
    }
  });
}

std::string
Engine::Entry() const
{
  return nlohmann::json{
    { "service", service_ },
    { "address", ToString(address_) },
    { "zone", "zone-a" },
    { "version", "v1" },
    { "slots", 64 },
    { "state", "ready" },
    { "cold-remaining-ms", 0 },
    { "born", born_ },
    { "sequence", 1 }
  }.dump();
}

void
Engine::Handle(
  const std::shared_ptr<sycamoreward::http::CallerExchange>& aExchange)
{
  using namespace sycamoreward::http;
  const std::string request = Field(*aExchange, "X-Request-Id");
  ResponseHead head;
  head.reason_ = "Engine";
  head.fields_ = { { "X-Request-Id", request },
                   { "Keep-Alive", "timeout=10" } };
  if (Field(*aExchange, "X-Expect-Instance") != id_) {
    head.status_ = 421;
    head.fields_.push_back({ "X-Not-Executed", "1" });
    aExchange->Answer(std::move(head), "");
    return;
  }
  auto run = std::make_shared<Run>();
  run->request_ = request;
  run->began_ = Now();
  runs_.push_back(run);
  Record("engine %s runs %s", id_.c_str(), request.c_str());
  const std::string& target = aExchange->head_.target_;
  const std::size_t size =
    std::strtoul(target.c_str() + target.rfind('/') + 1, nullptr, 10);
  CallerExchange::Callbacks callbacks;
  callbacks.onGone_ = [this, run] {
    run->isGone_ = true;
    Record("engine %s: channel of %s closed while it was at work",
           id_.c_str(),
           run->request_.c_str());
  };
  aExchange->SetCallbacks(std::move(callbacks));
  head.status_ = 200;
  head.fields_.push_back({ "X-Response-Signature", "proof-of-" + request });
  head.fields_.push_back({ "X-Backend-Load", "1,0,64,100" });
  const bool isCrashing =
    !crashPart_.empty() &&
    Field(*aExchange, "X-Prefix-Hash").find(crashPart_) != std::string::npos;
  const auto answer = [this, aExchange, run, head, size, isCrashing] {
    // Spreads the failures evenly over the requests since the last one.
    sinceFailure_ += failedShare_;
    if (isCrashing) {
      Crash();
    } else if (sinceFailure_ >= 1) {
      sinceFailure_ -= 1;
      ResponseHead failure = head;
      failure.status_ = 503;
      Record("engine %s fails %s with 503", id_.c_str(), run->request_.c_str());
      run->ended_ = Now();
      aExchange->Answer(std::move(failure), "the register is locked");
    } else if (!run->isGone_ && events_ > 0) {
      ResponseHead streamHead = head;
      streamHead.fields_.push_back({ "Content-Type", "text/event-stream" });
      aExchange->Start(std::move(streamHead), { BodyEnd::Chunked, 0 });
      SendEvent(aExchange, run, 1);
    } else if (!run->isGone_) {
      aExchange->Start(head, { BodyEnd::Length, size });
      Pump(aExchange, run, size);
    }
  };
  loop_.CallAfter(work_, answer);
}

void
Engine::SendEvent(
  const std::shared_ptr<sycamoreward::http::CallerExchange>& aExchange,
  const std::shared_ptr<Run>& aRun,
  int aNext)
{
  if (aRun->isGone_) {
    return;
  }
  if (aNext > events_) {
    aRun->ended_ = Now();
    aExchange->Finish();
    return;
  }
  const std::string number = std::to_string(aNext);
  aExchange->Send("id: " + number + "\ndata: " + aRun->request_ + "/" + number +
                  "\n\n");
  loop_.CallAfter(eventDelay_, [this, aExchange, aRun, aNext] {
    SendEvent(aExchange, aRun, aNext + 1);
  });
}

void
Engine::Pump(
  const std::shared_ptr<sycamoreward::http::CallerExchange>& aExchange,
  const std::shared_ptr<Run>& aRun,
  std::size_t aLeft)
{
  constexpr std::size_t kPiece = 16 * 1024;
  std::size_t left = aLeft;
  while (left > 0 && aExchange->Unsent() < 2 * kPiece) {
    const std::size_t count = std::min(left, kPiece);
    aExchange->Send(std::string(count, 'x'));
    left -= count;
  }
  if (aRun->isGone_) {
    return;
  }
  if (left > 0 || aExchange->Unsent() > 0) {
    loop_.CallAfter(
      std::chrono::milliseconds(5),
      [this, aExchange, aRun, left] { Pump(aExchange, aRun, left); });
    return;
  }
  aRun->ended_ = Now();
  Record("engine %s has sent its whole answer to %s",
         id_.c_str(),
         aRun->request_.c_str());
  aExchange->Finish();
}

nlohmann::json
Route(const std::string& aPrefix,
      const char* aType,
      const char* aService,
      int aTimeoutMs,
      int aAttempts)
{
  return { { "name", aPrefix },
           { "host", kHost },
           { "prefix", aPrefix },
           { "type", aType },
           { "timeout-ms", aTimeoutMs },
           { "slo-ms", 8000 },
           { "priority", 1 },
           { "service", aService },
           { "max-attempts", aAttempts },
           { "public", false },
           { "resumable", false },
           { "itl-target-ms", 400 } };
}

World::World()
{
  std::signal(SIGPIPE, SIG_IGN);
  const char* base = std::getenv("TMPDIR");
  std::string name =
    std::string(base == nullptr ? "/tmp" : base) + "/review-2-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    std::fprintf(stderr, "No temporary folder can be made.\n");
    std::exit(kCouldNotRun);
  }
  directory_ = name;
  put_ = [this](const std::string& aTable,
                const std::string& aKey,
                const std::string& aValue) {
    store_.Put(aTable, aKey, aValue);
  };
  storeAddress_ = store_.BoundAddress();
}

World::~World()
{
  for (const auto& edge : edges_) {
    if (edge->pid_ > 0 && edge->ended_ == 0) {
      kill(edge->pid_, SIGKILL);
      waitpid(edge->pid_, nullptr, 0);
    }
    unlink(edge->settings_.c_str());
    unlink((edge->settings_ + ".log").c_str());
  }
  rmdir(directory_.c_str());
}

void
World::AddEngines(const std::string& aService, int aCount)
{
  for (int index = 0; index < aCount; ++index) {
    engines_.push_back(std::make_unique<Engine>(
      loop_, aService + "-" + std::to_string(index), aService));
    Engine* engine = engines_.back().get();
    engine->onRestarted_ = [this, engine] {
      put_("servers", engine->id_, engine->Entry());
    };
    engine->onRestarted_();
  }
}

void
World::PutManifest(const nlohmann::json& aRoutes,
                   const nlohmann::json& aServices,
                   int aVersion)
{
  put_("op",
       "config",
       nlohmann::json{ { "version", aVersion },
                       { "routes", aRoutes },
                       { "services", aServices },
                       { "limits",
                         { { "max-header-bytes", 16384 },
                           { "max-body-bytes", 4194304 },
                           { "header-timeout-ms", 5000 },
                           { "idle-timeout-ms", 20000 } } },
                       { "tenants",
                         { { { "name", "one" },
                             { "api-keys", { kKey } },
                             { "unit", "tokens" },
                             { "uncached-tokens", 10 },
                             { "rate-per-s", 100000 },
                             { "burst", 100000 } } } } }
         .dump());
}

std::string
World::Settings(const Edge& aEdge) const
{
  const auto local = [](std::uint16_t aPort) {
    return "\"127.0.0.1:" + std::to_string(aPort) + "\"\n";
  };
  return "node-name = \"" + aEdge.name_ + "\"\nrole = \"edge\"\n" +
         "machine-class = \"edge\"\nserves = [\"edge\",\"registry\"]\n" +
         "ip = \"127.0.0.1\"\nzone = \"" + aEdge.zone_ +
         "\"\nregion = \"coast\"\ninternal-ports = [" +
         std::to_string(aEdge.inner_) + "," + std::to_string(aEdge.metrics_) +
         "]\n[listen]\nfrontend = " + local(aEdge.callers_) +
         "readiness = " + local(aEdge.readiness_) +
         "registry = " + local(aEdge.addresses_) +
         "[limits]\ncpu-share = 0.25\ncpu-cores = 1\nmemory-mb = 260\n"
         "max-fds = 4200\n"
         "[bounds]\ncontact-ms = 3000\ndrain-ms = 2000\ngrace-s = 8\n"
         "loss-slack-ms = 200\nconfig-apply-ms = 2000\ndowngrade-ms = 250\n"
         "retry-ratio = 0.2\nretry-window-s = 10\nretry-extra = 52\n"
         "quota-window-s = 8\nquota-overage = 0.1\nquota-slack = 110000\n"
         "fencing = true\nlease-ms = 3000\nthaw-ms = 300\n"
         "report-window-s = 5\nusage-late-s = 10\nrecovery-s = 12\n"
         "ttl_max_s = 5\n"
         "[platform]\naddress = \"" +
         ToString(storeAddress_) + "\"\n[cloud]\naddress = \"" +
         ToString(cloud_.BoundAddress()) + "\"\n";
}

void
World::AddEdges(int aCount)
{
  for (int index = 0; index < aCount; ++index) {
    auto edge = std::make_unique<Edge>();
    edge->name_ = "edge-" + std::to_string(index);
    edge->zone_ = std::string("zone-") + char('a' + index % 3);
    edge->callers_ = FreePort();
    edge->readiness_ = FreePort();
    edge->addresses_ = FreePort();
    edge->inner_ = FreePort();
    edge->metrics_ = FreePort();
    edge->settings_ = directory_ + "/" + edge->name_ + ".toml";
    edges_.push_back(std::move(edge));
    Start(*edges_.back());
  }
}

void
World::Start(Edge& aEdge)
{
  std::ofstream(aEdge.settings_) << Settings(aEdge);
  const char* root = std::getenv("REVIEW_ROOT");
  if (root == nullptr) {
    std::fprintf(stderr, "REVIEW_ROOT is not set; use run.sh.\n");
    std::exit(kCouldNotRun);
  }
  aEdge.ended_ = 0;
  aEdge.pid_ = fork();
  if (aEdge.pid_ == 0) {
    const int log = open((aEdge.settings_ + ".log").c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                         0600);
    dup2(log, 1);
    dup2(log, 2);
    if (chdir(root) != 0) {
      _exit(127);
    }
    setenv("SYCAMOREWARD_CONFIG", aEdge.settings_.c_str(), 1);
    execl(
      "target/bin/sycamoreward-edge", "target/bin/sycamoreward-edge", nullptr);
    _exit(127);
  }
  Record("%s is started", aEdge.name_.c_str());
}

void
World::Reap()
{
  for (const auto& edge : edges_) {
    if (edge->pid_ > 0 && edge->ended_ == 0 &&
        waitpid(edge->pid_, &edge->status_, WNOHANG) == edge->pid_) {
      edge->ended_ = Now();
      Record("%s has ended: %s %d",
             edge->name_.c_str(),
             WIFEXITED(edge->status_) ? "exit" : "signal",
             WIFEXITED(edge->status_) ? WEXITSTATUS(edge->status_)
                                      : WTERMSIG(edge->status_));
    }
  }
}

bool
World::RunUntil(const std::function<bool()>& aDone, double aSeconds)
{
  const double end = Now() + aSeconds;
  while (!aDone() && Now() < end) {
    loop_.RunUntil([] { return false; }, std::chrono::milliseconds(20));
    Reap();
  }
  return aDone();
}

bool
World::WaitReady(double aSeconds)
{
  const double end = Now() + aSeconds;
  std::size_t ready = 0;
  // The instances read the store of this process while they start, so the
  // question is put without blocking the loop for long.
  while (ready < edges_.size() && Now() < end) {
    RunUntil([] { return false; }, 0.2);
    ready = 0;
    for (const auto& edge : edges_) {
      ready += GetStatus(edge->readiness_, "/sycamoreward/readyz") == 200;
    }
  }
  return ready == edges_.size();
}

int
Connect(std::uint16_t aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int segment = 1400;
  const int buffer = 8 * 1024;
  setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  const sockaddr_in address = Loopback(aPort);
  if (connect(descriptor,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

std::size_t
ResidentBytes(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  file >> all >> resident;
  return resident * std::size_t(sysconf(_SC_PAGESIZE));
}

int
GetStatus(std::uint16_t aPort, const std::string& aTarget)
{
  const int descriptor = Connect(aPort);
  if (descriptor < 0) {
    return 0;
  }
  const timeval limit{ 1, 0 };
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const std::string text =
    "GET " + aTarget + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char bytes[64] = {};
  int status = 0;
  if (send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) > 0 &&
      recv(descriptor, bytes, sizeof bytes - 1, 0) > 12) {
    status = std::atoi(bytes + 9);
  }
  close(descriptor);
  return status;
}

} // namespace review
