#pragma once

// Test fixture with a deployment and a recording caller, for tests that inject
// faults while requests run.

#include "caller/RecordingCaller.h"
#include "support/Deployment.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

class FaultScene
{
public:
  explicit FaultScene(const DeploymentOptions& aOptions);

  // Returns options for engines that take about aMilliseconds per token.
  static DeploymentOptions SlowEngines(unsigned aMilliseconds);

  Deployment& Deployed() { return deployment_; }
  RecordingCaller& Caller() { return caller_; }

  // Returns the caller addresses of all entry instances, starting with aEntry.
  std::vector<Address> AddressesFrom(unsigned aEntry) const;

  // Starts aCount streams of aTokens tokens each, named aName-0 and so on.
  // Each is first sent to entry instance aEntry.
  void StartStreams(const std::string& aName,
                    unsigned aCount,
                    unsigned aTokens,
                    unsigned aEntry);

  // Starts an unrepeatable call, first sent to entry instance aEntry and
  // retried until its deadline.
  void StartCertificate(const std::string& aName, unsigned aEntry);

  // Waits until each stream has delivered data to its caller aParts times.
  void WaitForParts(unsigned aParts);

  // Runs the event loop for aTime.
  void Pass(std::chrono::milliseconds aTime);

  // Waits at most aSeconds for the last reply to each request, then checks the
  // history.
  void ExpectWhole(int aSeconds);

  // Returns the replies to request aName so far.
  std::vector<CallerReply> RepliesTo(const std::string& aName) const;

  void SetFaults(const Address& aServer, const nlohmann::json& aFaults);
  nlohmann::json EngineCounters(unsigned aIndex);

  // Returns the number of tokens computed by the engines that are still
  // running.
  std::uint64_t ComputedTokens();

  // Declares a repeatable plain service with one server, which this process
  // runs, and waits until all entry instances get replies to GET /ready there.
  void AddPlainService(const std::string& aName, const Address& aServer);

  // Returns a GET request for a plain service, addressed to an entry instance.
  HttpClientRequest PlainRequest(const std::string& aName,
                                 const std::string& aPath,
                                 unsigned aEntry) const;

  // Returns the addresses in an address answer of entry instance aEntry.
  std::vector<std::string> ListedAddresses(unsigned aEntry);

private:
  Deployment deployment_;
  RecordingCaller caller_;
  std::map<std::string, unsigned> parts_;
};

} // namespace sycamoreward
