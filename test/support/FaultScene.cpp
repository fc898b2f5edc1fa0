#include "support/FaultScene.h"

#include "support/DeploymentHistory.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr int kPartsSeconds = 10;
// The retry delay is 200 ms, so the deadline is reached before this limit.
constexpr unsigned kMaxTries = 200;

// Lists the replies in order of arrival.
std::string
Describe(const CallerHistory& aHistory)
{
  std::string text = aHistory.name_ + ":";
  for (const CallerReply& reply : aHistory.replies_) {
    text += " " + std::to_string(reply.status_) +
            (reply.isComplete_ ? "" : " broken") + " after " +
            std::to_string(reply.elapsed_.count() / 1000) + " ms (" +
            reply.request_.Value() + ")";
  }
  return text;
}

} // namespace

FaultScene::FaultScene(const DeploymentOptions& aOptions)
  : deployment_(aOptions)
  , caller_(deployment_.Loop(), deployment_.Client(), kCallerToken)
{
  caller_.OnData([this](const std::string& aName) {
    const auto found = parts_.find(aName);
    if (found != parts_.end()) {
      ++found->second;
    }
  });
}

DeploymentOptions
FaultScene::SlowEngines(unsigned aMilliseconds)
{
  DeploymentOptions options;
  options.engineArguments_ = { "--step-us",
                               std::to_string(aMilliseconds * 1000) };
  return options;
}

std::vector<Address>
FaultScene::AddressesFrom(unsigned aEntry) const
{
  std::vector<Address> addresses;
  for (unsigned at = 0; at < deployment_.Entries(); ++at) {
    addresses.push_back(
      deployment_.CallerAddress((aEntry + at) % deployment_.Entries()));
  }
  return addresses;
}

void
FaultScene::StartStreams(const std::string& aName,
                         unsigned aCount,
                         unsigned aTokens,
                         unsigned aEntry)
{
  for (unsigned index = 0; index < aCount; ++index) {
    const std::string name = aName + "-" + std::to_string(index);
    CallerRequest request =
      CompletionRequest(name, kQueryService, aTokens, AddressesFrom(aEntry));
    request.maxTries_ = kMaxTries;
    parts_[name] = 0;
    caller_.Start(request);
  }
}

void
FaultScene::StartCertificate(const std::string& aName, unsigned aEntry)
{
  CallerRequest request =
    RecordRequest(aName, kCertificateService, AddressesFrom(aEntry));
  request.maxTries_ = kMaxTries;
  caller_.Start(request);
}

void
FaultScene::WaitForParts(unsigned aParts)
{
  const auto haveAll = [&] {
    return std::all_of(parts_.begin(), parts_.end(), [&](const auto& aEntry) {
      return aEntry.second >= aParts;
    });
  };
  cr_assert(deployment_.WaitFor(haveAll, kPartsSeconds),
            "not every stream delivered %u parts",
            aParts);
}

void
FaultScene::Pass(std::chrono::milliseconds aTime)
{
  deployment_.Loop().RunUntil([] { return false; }, aTime);
}

void
FaultScene::ExpectWhole(int aSeconds)
{
  const bool isDone =
    deployment_.WaitFor([&] { return caller_.IsDone(); }, aSeconds);
  for (const CallerHistory& history : caller_.Histories()) {
    const bool isWhole =
      !history.replies_.empty() && history.replies_.back().isComplete_;
    cr_expect(
      isDone || isWhole, "no whole reply to %s", Describe(history).c_str());
  }
  cr_assert(isDone);
  for (const CallerHistory& history : caller_.Histories()) {
    cr_expect_eq(
      history.replies_.back().status_, 200, "%s", Describe(history).c_str());
  }
  ExpectNoViolations(deployment_, caller_);
}

std::vector<CallerReply>
FaultScene::RepliesTo(const std::string& aName) const
{
  for (const CallerHistory& history : caller_.Histories()) {
    if (history.name_ == aName) {
      return history.replies_;
    }
  }
  return {};
}

void
FaultScene::SetFaults(const Address& aServer, const nlohmann::json& aFaults)
{
  deployment_.Post(aServer, "/faults", aFaults);
}

nlohmann::json
FaultScene::EngineCounters(unsigned aIndex)
{
  return deployment_.Get(deployment_.EngineAddress(aIndex), "/counters");
}

std::uint64_t
FaultScene::ComputedTokens()
{
  std::uint64_t tokens = 0;
  for (unsigned engine = 0; engine < deployment_.Engines(); ++engine) {
    if (deployment_.IsEngineRunning(engine)) {
      tokens +=
        EngineCounters(engine).at("tokensComputed").get<std::uint64_t>();
    }
  }
  return tokens;
}

void
FaultScene::AddPlainService(const std::string& aName, const Address& aServer)
{
  deployment_.List({ { "id", aName + "-0" },
                     { "role", "service" },
                     { "pool", aName },
                     { "address", ToString(aServer) },
                     { "failureDomain", Deployment::FailureDomain(0) },
                     { "region", Deployment::kRegion },
                     { "state", "live" } });
  const int status =
    deployment_.PutResource(0,
                            { { "kind", "Service" },
                              { "metadata", { { "name", aName } } },
                              { "spec",
                                { { "type", "plain" },
                                  { "pool", aName },
                                  { "region", Deployment::kRegion },
                                  { "isRepeatable", true } } } });
  cr_assert(status == 200 || status == 201, "%d", status);
  deployment_.WaitUntilInForce("Service", aName);
  for (unsigned entry = 0; entry < deployment_.Entries(); ++entry) {
    const auto request = PlainRequest(aName, "/ready", entry);
    cr_assert(deployment_.WaitFor(
      [&] { return deployment_.Fetch(request).status_ == 200; }, 10));
  }
}

HttpClientRequest
FaultScene::PlainRequest(const std::string& aName,
                         const std::string& aPath,
                         unsigned aEntry) const
{
  HttpClientRequest request;
  request.address_ = deployment_.CallerAddress(aEntry);
  request.target_ = "/services/" + aName + aPath;
  request.headers_ = { { "Authorization",
                         std::string("Bearer ") + kCallerToken } };
  return request;
}

std::vector<std::string>
FaultScene::ListedAddresses(unsigned aEntry)
{
  std::vector<std::string> addresses;
  const auto answer =
    deployment_.Get(deployment_.CallerAddress(aEntry), "/v1/addresses");
  for (const auto& entry : answer.at("addresses")) {
    addresses.push_back(entry.at("address").get<std::string>());
  }
  return addresses;
}

} // namespace sycamoreward
