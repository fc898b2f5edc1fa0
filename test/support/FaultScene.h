#pragma once

// A deployment with a recording caller, for tests that cause a fault while
// requests run.

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

  // Engines that need about aMilliseconds for each token.
  static DeploymentOptions SlowEngines(unsigned aMilliseconds);

  Deployment& Deployed() { return deployment_; }
  RecordingCaller& Caller() { return caller_; }

  // Caller addresses of all entry instances, from aEntry on.
  std::vector<Address> AddressesFrom(unsigned aEntry) const;

  // Starts aCount streams of aTokens tokens each, named aName-0 and so on.
  // Their callers ask entry instance aEntry first.
  void StartStreams(const std::string& aName,
                    unsigned aCount,
                    unsigned aTokens,
                    unsigned aEntry);

  // Starts an unrepeatable call. Its caller asks for up to the deadline.
  void StartCertificate(const std::string& aName, unsigned aEntry);

  // Waits until each stream has delivered aParts parts to its caller.
  void WaitForParts(unsigned aParts);

  // Lets time pass while callers go on.
  void Pass(std::chrono::milliseconds aTime);

  // Waits for the last reply of each caller, and judges the history.
  void ExpectWhole(int aSeconds);

  // Replies to the request aName so far.
  std::vector<CallerReply> RepliesTo(const std::string& aName) const;

  void SetFaults(const Address& aServer, const nlohmann::json& aFaults);
  nlohmann::json EngineCounters(unsigned aIndex);

  // Tokens that the engines that still run have computed.
  std::uint64_t ComputedTokens();

  // Declares a repeatable plain service with one server, which this process
  // runs, and waits until all entry instances get replies to GET /ready there.
  void AddPlainService(const std::string& aName, const Address& aServer);

  // A GET of a plain service at an entry instance.
  HttpClientRequest PlainRequest(const std::string& aName,
                                 const std::string& aPath,
                                 unsigned aEntry) const;

  // An address answer of entry instance aEntry.
  std::vector<std::string> ListedAddresses(unsigned aEntry);

private:
  Deployment deployment_;
  RecordingCaller caller_;
  std::map<std::string, unsigned> parts_;
};

} // namespace sycamoreward
