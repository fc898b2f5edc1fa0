#pragma once

// Runs a complete deployment as separate processes on loopback: platform,
// engines, plain service and entry instances in three failure domains.

#include "base/Address.h"
#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "support/ChildProcess.h"
#include "support/CuttableLink.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

struct DeploymentOptions
{
  unsigned engines_ = 3;
  unsigned services_ = 1;
  unsigned entries_ = 3;
  std::vector<std::string> engineArguments_;
  // Runs all engines in one process, each on its own port. Engine() is then
  // valid for index 0 only.
  bool hasOneEngineProcess_ = false;
  // Address at which entry instances reach the platform through a link of the
  // test.
  Address platformLink_;
  // Places a link owned by the deployment between entry instances and platform.
  bool hasPlatformLink_ = false;
  // Places a link in front of each engine; the list contains the address of the
  // link.
  bool hasEngineLinks_ = false;
  // Omits entry instances from the list, so that they don't discover each
  // other.
  bool areEntriesIsolated_ = false;
  // Returns the address at which one entry instance reaches the platform.
  // Called when the instance starts, with the deployment's event loop and the
  // platform's own address.
  std::function<Address(EventLoop&, const Address&, unsigned aEntry)> linkFor_;
  // Lines to add to the settings of each entry instance.
  std::string settings_;
};

// Tokens that the settings and resources of a deployment accept.
constexpr const char* kOperatorToken = "operator-token";
constexpr const char* kCallerToken = "caller-token";

// Services that a deployment declares.
constexpr const char* kReviewService = "sheet-review";
constexpr const char* kQueryService = "resistance-query";
constexpr const char* kCertificateService = "certificate-issue";

class Deployment
{
public:
  static constexpr const char* kRegion = "scot-central";

  explicit Deployment(const DeploymentOptions& aOptions);
  ~Deployment();

  EventLoop& Loop() { return loop_; }
  HttpClient& Client() { return client_; }

  // Requires hasPlatformLink_.
  CuttableLink& PlatformLink() { return *platformLink_; }
  ChildProcess& Platform() { return *platform_; }
  ChildProcess& Engine(unsigned aIndex) { return *engines_.at(aIndex); }
  // Requires hasEngineLinks_.
  CuttableLink& EngineLink(unsigned aIndex) { return *links_.at(aIndex); }
  ChildProcess& Service(unsigned aIndex) { return *services_.at(aIndex); }
  ChildProcess& Entry(unsigned aIndex) { return *entries_.at(aIndex); }

  Address PlatformAddress() const { return platformAddress_; }
  Address EngineAddress(unsigned aIndex) const;
  Address ServiceAddress(unsigned aIndex) const;
  Address CallerAddress(unsigned aIndex) const;
  Address OperatorAddress(unsigned aIndex) const;
  Address PeerAddress(unsigned aIndex) const;
  unsigned Engines() const { return options_.engines_; }
  unsigned Services() const { return options_.services_; }
  unsigned Entries() const { return static_cast<unsigned>(entries_.size()); }
  bool IsEngineRunning(unsigned aIndex) const
  {
    return engines_.at(aIndex)->Pid() > 0;
  }

  // Starts another entry instance, or restarts aIndex after it has ended, and
  // adds it to the platform's list.
  void StartEntry(unsigned aIndex);

  // Like StartEntry, with the given addresses for callers and peers.
  void StartEntryAt(unsigned aIndex,
                    const Address& aCallers,
                    const Address& aPeers);

  // Waits until all running entry instances are ready.
  void WaitUntilReady();

  // Waits until the resource is in force at all entry instances.
  void WaitUntilInForce(const std::string& aKind, const std::string& aName);

  // Blocking requests. Fail the test if no complete reply arrives.
  nlohmann::json Get(const Address& aAddress, const std::string& aTarget);
  void Post(const Address& aAddress,
            const std::string& aTarget,
            const nlohmann::json& aBody);
  HttpClientReply Fetch(const HttpClientRequest& aRequest);

  // Puts a resource through the operators' API of an entry instance; returns
  // the status.
  int PutResource(unsigned aEntry, const nlohmann::json& aResource);

  // Runs the event loop until aDone() or for aSeconds of real time. Returns
  // aDone().
  bool WaitFor(const std::function<bool()>& aDone, int aSeconds);

  // Adds or replaces an instance in the platform's list.
  void List(const nlohmann::json& aInstance);

  // Sets the state of a backend server or an entry instance in the platform's
  // list.
  void SetState(const std::string& aId, const std::string& aState);

  // Sends an instance a reclaim notice of aSeconds.
  void Notice(const std::string& aId, int aSeconds);

  static std::string EntryId(unsigned aIndex);
  static std::string EngineId(unsigned aIndex);
  static std::string ServiceId(unsigned aIndex);
  static std::string FailureDomain(unsigned aIndex);

private:
  void StartServers();
  void StartEnginesTogether();
  void ListEngine(unsigned aIndex, const std::string& aAddress);
  std::string WriteSettings(unsigned aIndex,
                            const Address& aCallers,
                            const Address& aPeers);
  void DeclareResources();

  DeploymentOptions options_;
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  std::string directory_;
  Address platformAddress_;
  std::unique_ptr<ChildProcess> platform_;
  std::unique_ptr<CuttableLink> platformLink_;
  std::vector<std::unique_ptr<ChildProcess>> engines_;
  std::vector<std::unique_ptr<CuttableLink>> links_;
  std::vector<std::unique_ptr<ChildProcess>> services_;
  std::vector<std::unique_ptr<ChildProcess>> entries_;
  // The last state of each instance sent to the platform's list, by id.
  std::map<std::string, nlohmann::json> listed_;
};

} // namespace sycamoreward
