#pragma once

// A small deployment for the scripts of the second review: the project's
// stand-ins of the store and of the platform's calls, engines of its own, and
// entry instances as separate processes, all on loopback.

#include "../../standins/platformapi/CloudStandIn.h"
#include "../../standins/platformapi/StoreStandIn.h"
#include "http/CallerServer.h"
#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

using sycamoreward::Duration;
using sycamoreward::EventLoop;

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Seconds since the start of the program.
double
Now();

// Whether the disruption is on: TROUBLE is not "0".
bool
HasTrouble();

// Writes a line to record.txt, with the time. May be called by any thread.
void
Record(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));

// An engine that keeps to the pages. Answers requests that expect it with a
// body of a size that the request's path names (".../BYTES"), and other
// requests with 421.
class Engine
{
public:
  struct Run
  {
    std::string request_;
    double began_ = 0;
    // When the last byte of the answer was handed to the system; 0 before.
    double ended_ = 0;
    bool isGone_ = false;
  };

  Engine(EventLoop& aLoop, std::string aId, std::string aService);
  std::string Entry() const;

  std::string id_;
  // Time from a request's last byte to the answer.
  Duration work_{ 0 };
  // Share of the requests that fail after they have begun: answered 503 without
  // X-Not-Executed.
  double failedShare_ = 0;
  // If above 0, answers are streams of this many events.
  int events_ = 0;
  Duration eventDelay_ = std::chrono::milliseconds(40);
  // A part of a prompt that ends the engine's process when it begins to write
  // an answer on it; none if empty. The process is back after a while.
  std::string crashPart_;
  Duration restartDelay_ = std::chrono::seconds(3);
  std::function<void()> onRestarted_;
  std::vector<double> crashes_;
  std::vector<std::shared_ptr<Run>> runs_;

private:
  void Handle(const std::shared_ptr<sycamoreward::http::CallerExchange>&);
  void Pump(const std::shared_ptr<sycamoreward::http::CallerExchange>&,
            const std::shared_ptr<Run>&,
            std::size_t aLeft);
  void SendEvent(const std::shared_ptr<sycamoreward::http::CallerExchange>&,
                 const std::shared_ptr<Run>&,
                 int aNext);
  void Listen(const sycamoreward::Address& aAddress);
  void Crash();

  EventLoop& loop_;
  std::string service_;
  sycamoreward::Address address_;
  std::uint64_t born_ = 1700000000000;
  double sinceFailure_ = 0;
  std::unique_ptr<sycamoreward::http::CallerServer> server_;
};

// An entry instance.
struct Edge
{
  std::string name_;
  std::string zone_;
  std::uint16_t callers_ = 0;
  std::uint16_t readiness_ = 0;
  std::uint16_t addresses_ = 0;
  std::uint16_t inner_ = 0;
  std::uint16_t metrics_ = 0;
  std::string settings_;
  pid_t pid_ = -1;
  // When the process ended, and its wait status; 0 while it runs.
  double ended_ = 0;
  int status_ = 0;
};

class World
{
public:
  World();
  ~World();

  void AddEngines(const std::string& aService, int aCount);
  // aRoutes and aServices as in a manifest.
  void PutManifest(const nlohmann::json& aRoutes,
                   const nlohmann::json& aServices,
                   int aVersion = 1);
  void AddEdges(int aCount);
  void Start(Edge& aEdge);
  // Notes which processes have ended.
  void Reap();
  // Waits until all instances answer 200 on their readiness address.
  bool WaitReady(double aSeconds);
  bool RunUntil(const std::function<bool()>& aDone, double aSeconds);

  sycamoreward::SystemClock clock_;
  EventLoop loop_{ clock_ };
  sycamoreward::standin::StoreStandIn store_{ loop_ };
  sycamoreward::standin::CloudStandIn cloud_{ loop_ };
  // Where rows are put, and the store that the instances call: store_ at first.
  std::function<void(const std::string& aTable,
                     const std::string& aKey,
                     const std::string& aValue)>
    put_;
  sycamoreward::Address storeAddress_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Edge>> edges_;

private:
  std::string Settings(const Edge& aEdge) const;
  std::string directory_;
};

// A route as in a manifest.
nlohmann::json
Route(const std::string& aPrefix,
      const char* aType,
      const char* aService,
      int aTimeoutMs,
      int aAttempts);

constexpr const char* kHost = "office.example";
constexpr const char* kKey = "key-one";

// Connects to a port on loopback as a caller on an ordinary link does: with
// segments of 1,400 bytes and a receive buffer of 8 KiB. Returns -1 if the
// connection is refused.
int
Connect(std::uint16_t aPort);

// Resident memory of a process, in bytes; 0 if it has none.
std::size_t
ResidentBytes(pid_t aProcess);

// Status of a GET request to a port on loopback; 0 if there is no answer.
int
GetStatus(std::uint16_t aPort, const std::string& aTarget);

} // namespace review
