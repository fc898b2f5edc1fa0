#pragma once

// A small deployment on loopback: the project's program as separate processes,
// with the command of the deploy file, and stand-ins of the platform's store,
// its cloud, the engines and the callers in this process.

#include "../../standins/platformapi/CloudStandIn.h"
#include "../../standins/platformapi/StoreStandIn.h"
#include "base/Clock.h"
#include "http/BackendChannel.h"
#include "http/CallerServer.h"
#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

using namespace sycamoreward;

// Results of a scene, as exit codes of its script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

struct EdgeOptions
{
  int memoryMegabytes_ = 260;
  int maxDescriptors_ = 4200;
  double usageWindowSeconds_ = 5;
};

// One process of sycamoreward-edge.
class EdgeProcess
{
public:
  EdgeProcess(std::string aName,
              std::string aZone,
              std::string aDirectory,
              Address aStore,
              Address aCloud,
              EdgeOptions aOptions);
  ~EdgeProcess();
  void Start();
  void Signal(int aSignal) const;
  void Kill();
  // Whether the process has ended by itself; sets aStatus to its wait status.
  bool HasEnded(int& aStatus);
  // Resident memory in bytes, as the platform sees it.
  std::uint64_t ResidentBytes() const;

  Address callers_;
  Address readiness_;
  Address registry_;
  std::string name_;
  pid_t pid_ = -1;

private:
  std::string Settings() const;
  std::string zone_;
  std::string directory_;
  Address store_;
  Address cloud_;
  EdgeOptions options_;
  std::uint16_t inner_ = 0;
  std::uint16_t metrics_ = 0;
};

// A caller's request and what came back.
struct Ask
{
  std::string id_;
  double sentAt_ = 0;
  double endedAt_ = 0;
  int status_ = 0;
  std::string body_;
  std::string signature_;
  bool isWhole_ = false;
  bool isDone_ = false;
  std::shared_ptr<http::BackendChannel> channel_;
};

struct AskOptions
{
  std::string method_ = "POST";
  std::string path_;
  std::string id_;
  std::string body_;
  std::string key_ = "key-one";
  int deadlineMs_ = 1500;
  std::vector<http::HeaderField> fields_;
};

class World
{
public:
  // aRecord is the path of record.txt.
  explicit World(const std::string& aRecord);
  ~World();

  EdgeProcess& AddEdge(const EdgeOptions& aOptions = {});
  // Writes a row of the servers' table, as an engine does.
  void ListEngine(const std::string& aId,
                  const std::string& aService,
                  const Address& aAddress,
                  const std::string& aZone,
                  const char* aState = "ready",
                  int aSlots = 64);
  void PutManifest(const nlohmann::json& aRoutes,
                   const nlohmann::json& aServices,
                   int aIdleTimeoutMs = 15000);
  static nlohmann::json Route(const std::string& aPrefix,
                              const char* aType,
                              const char* aService,
                              int aAttempts,
                              bool aIsResumable,
                              int aTimeoutMs,
                              int aObjectiveMs);

  bool WaitReady(double aSeconds);
  std::shared_ptr<Ask> Send(
    const Address& aEdge,
    const AskOptions& aOptions,
    const std::shared_ptr<http::BackendChannel>& aKept = nullptr);
  std::string Get(const Address& aAddress, const std::string& aTarget);

  bool RunUntil(const std::function<bool()>& aDone, double aSeconds);
  void RunFor(double aSeconds);
  // Seconds since the start of the scene.
  double Now() const;
  void Record(const std::string& aText);

  // Kills the edges and reports the result.
  int Finish(int aResult, const std::string& aWhy);

  SystemClock clock_;
  EventLoop loop_{ clock_ };
  standin::StoreStandIn store_{ loop_ };
  standin::CloudStandIn cloud_{ loop_ };
  std::vector<std::unique_ptr<EdgeProcess>> edges_;
  std::string directory_;

private:
  MonotonicTime start_;
  std::ofstream record_;
  std::uint64_t manifest_ = 0;
};

// Whether the environment asks for the scene without its disruption.
bool
IsCalm();

std::uint16_t
FreePort();

std::string
Field(const http::CallerExchange& aExchange, const char* aName);

// Runs aScene and turns an exception into kNotRun. For main.
int
RunScene(const std::function<int(World&)>& aScene,
         int aCount,
         char** aArguments);

} // namespace review
