#include "support/Deployment.h"

#include "support/DeploymentResources.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>

namespace sycamoreward {

namespace {

constexpr int kLimitSeconds = 30;
constexpr unsigned kFailureDomains = 3;
constexpr const char* kRegion = Deployment::kRegion;

// SHA-256 of kOperatorToken.
constexpr const char* kOperatorDigest =
  "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

Address
AddressIn(const ChildProcess& aProcess, const char* aField)
{
  return ParseAddress(
    nlohmann::json::parse(aProcess.FirstLine()).at(aField).get<std::string>());
}

} // namespace

Deployment::Deployment(const DeploymentOptions& aOptions)
  : options_(aOptions)
{
  char pattern[] = "/tmp/sycamoreward-test-XXXXXX";
  directory_ = mkdtemp(pattern);
  platform_ = std::make_unique<ChildProcess>("standin-platform",
                                             std::vector<std::string>());
  platformAddress_ = AddressIn(*platform_, "address");
  if (options_.hasPlatformLink_) {
    platformLink_ = std::make_unique<CuttableLink>(loop_, platformAddress_);
    options_.platformLink_ = platformLink_->ListenAddress();
  }
  if (options_.platformLink_.port_ == 0) {
    options_.platformLink_ = platformAddress_;
  }
  StartServers();
  for (unsigned index = 0; index < options_.entries_; ++index) {
    StartEntry(index);
  }
  WaitUntilReady();
  DeclareResources();
}

Deployment::~Deployment()
{
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string
Deployment::EntryId(unsigned aIndex)
{
  return "entry-" + std::to_string(aIndex);
}

std::string
Deployment::EngineId(unsigned aIndex)
{
  return "engine-" + std::to_string(aIndex);
}

std::string
Deployment::ServiceId(unsigned aIndex)
{
  return "desk-" + std::to_string(aIndex);
}

std::string
Deployment::FailureDomain(unsigned aIndex)
{
  return std::string(kRegion) + "-" + char('a' + aIndex % kFailureDomains);
}

Address
Deployment::EngineAddress(unsigned aIndex) const
{
  return AddressIn(*engines_.at(aIndex), "address");
}

Address
Deployment::ServiceAddress(unsigned aIndex) const
{
  return AddressIn(*services_.at(aIndex), "address");
}

Address
Deployment::CallerAddress(unsigned aIndex) const
{
  return AddressIn(*entries_.at(aIndex), "callers");
}

Address
Deployment::OperatorAddress(unsigned aIndex) const
{
  return AddressIn(*entries_.at(aIndex), "operators");
}

Address
Deployment::PeerAddress(unsigned aIndex) const
{
  return AddressIn(*entries_.at(aIndex), "peers");
}

void
Deployment::ListEngine(unsigned aIndex, const std::string& aAddress)
{
  List({ { "id", EngineId(aIndex) },
         { "role", "engine" },
         { "pool", "sheet-model" },
         { "address", aAddress },
         { "failureDomain", FailureDomain(aIndex) },
         { "region", kRegion },
         { "state", "live" } });
}

void
Deployment::StartEnginesTogether()
{
  std::vector<std::string> arguments = options_.engineArguments_;
  arguments.insert(
    arguments.end(),
    { "--pool", "sheet-model", "--count", std::to_string(options_.engines_) });
  engines_.push_back(
    std::make_unique<ChildProcess>("standin-engine", arguments));
  const auto addresses =
    nlohmann::json::parse(engines_.back()->FirstLine()).at("addresses");
  for (unsigned index = 0; index < options_.engines_; ++index) {
    ListEngine(index, addresses.at(index));
  }
}

void
Deployment::StartServers()
{
  if (options_.hasOneEngineProcess_) {
    StartEnginesTogether();
  }
  for (unsigned index = 0;
       index < options_.engines_ && !options_.hasOneEngineProcess_;
       ++index) {
    std::vector<std::string> arguments = options_.engineArguments_;
    arguments.insert(arguments.end(),
                     { "--id", EngineId(index), "--pool", "sheet-model" });
    engines_.push_back(
      std::make_unique<ChildProcess>("standin-engine", arguments));
    Address listed = EngineAddress(index);
    if (options_.hasEngineLinks_) {
      links_.push_back(std::make_unique<CuttableLink>(loop_, listed));
      listed = links_.back()->ListenAddress();
    }
    ListEngine(index, ToString(listed));
  }
  for (unsigned index = 0; index < options_.services_; ++index) {
    services_.push_back(std::make_unique<ChildProcess>(
      "standin-service", std::vector<std::string>{ "--id", ServiceId(index) }));
    List({ { "id", ServiceId(index) },
           { "role", "service" },
           { "pool", "certificate-desk" },
           { "address", ToString(ServiceAddress(index)) },
           { "failureDomain", FailureDomain(index) },
           { "region", kRegion },
           { "state", "live" } });
  }
}

void
Deployment::StartEntry(unsigned aIndex)
{
  StartEntryAt(aIndex, { "127.0.0.1", 0 }, { "127.0.0.1", 0 });
}

void
Deployment::StartEntryAt(unsigned aIndex,
                         const Address& aCallers,
                         const Address& aPeers)
{
  if (entries_.size() <= aIndex) {
    entries_.resize(aIndex + 1);
  }
  entries_[aIndex].reset();
  const char* logDirectory = std::getenv("TEST_LOG_DIRECTORY");
  entries_[aIndex] = std::make_unique<ChildProcess>(
    "sycamorewardd",
    std::vector<std::string>{ "--settings",
                              WriteSettings(aIndex, aCallers, aPeers) },
    logDirectory == nullptr
      ? ""
      : std::string(logDirectory) + "/" + EntryId(aIndex) + ".log");
  if (options_.areEntriesIsolated_) {
    return;
  }
  List({ { "id", EntryId(aIndex) },
         { "role", "entry" },
         { "pool", "entry" },
         { "address", ToString(PeerAddress(aIndex)) },
         { "failureDomain", FailureDomain(aIndex) },
         { "region", kRegion },
         { "state", "live" } });
}

std::string
Deployment::WriteSettings(unsigned aIndex,
                          const Address& aCallers,
                          const Address& aPeers)
{
  const std::string platform = ToString(
    options_.linkFor_ ? options_.linkFor_(loop_, platformAddress_, aIndex)
                      : options_.platformLink_);
  std::string path = directory_ + "/" + EntryId(aIndex) + ".yaml";
  std::ofstream file(path);
  file << "instance:\n  id: " << EntryId(aIndex)
       << "\n  failureDomain: " << FailureDomain(aIndex)
       << "\n  region: " << kRegion << "\nlisten:\n"
       << "  callers: " << ToString(aCallers)
       << "\n  operators: 127.0.0.1:0\n  peers: " << ToString(aPeers)
       << "\nplatform:\n  table: " << platform
       << "\n  objectStore: " << platform << "\n  bucket: journal"
       << "\n  instanceList: " << platform << "\n  notices: " << platform
       << "\n  noticePath: /instances/" << EntryId(aIndex)
       << "/latest/meta-data/spot/instance-action\n"
       << "log:\n  format: text\n  level: debug\noperators:\n"
       << "  - tokenDigest: " << kOperatorDigest << "\n    role: writer\n"
       << options_.settings_;
  return path;
}

void
Deployment::WaitUntilReady()
{
  for (const auto& entry : entries_) {
    const Address address = AddressIn(*entry, "operators");
    const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(kLimitSeconds);
    int status = 0;
    while (status != 200 && std::chrono::steady_clock::now() < end) {
      HttpClientRequest request;
      request.address_ = address;
      request.target_ = "/readyz";
      status = Fetch(request).status_;
      usleep(20'000);
    }
    cr_assert_eq(status, 200, "an entry instance did not become ready");
  }
}

void
Deployment::DeclareResources()
{
  for (const auto& resource : DeploymentResources()) {
    const int status = PutResource(0, resource);
    cr_assert(status == 200 || status == 201,
              "declaring %s gave %d",
              resource.dump().c_str(),
              status);
  }
  WaitUntilInForce("Workspace", "lab");
}

void
Deployment::WaitUntilInForce(const std::string& aKind, const std::string& aName)
{
  const auto path = "/apis/v1/" + aKind;
  const auto hasResource = [&](unsigned aEntry) {
    const auto list = Get(OperatorAddress(aEntry), path);
    for (const auto& item : list.at("items")) {
      if (item.at("metadata").at("name") == aName) {
        return true;
      }
    }
    return false;
  };
  for (unsigned entry = 0; entry < Entries(); ++entry) {
    cr_assert(WaitFor([&] { return hasResource(entry); }, kLimitSeconds),
              "%s is not in force at %s",
              aName.c_str(),
              EntryId(entry).c_str());
  }
}

HttpClientReply
Deployment::Fetch(const HttpClientRequest& aRequest)
{
  std::optional<HttpClientReply> reply;
  client_.Fetch(aRequest,
                [&](HttpClientReply aReply) { reply = std::move(aReply); });
  loop_.RunUntil([&] { return reply.has_value(); },
                 std::chrono::seconds(kLimitSeconds));
  cr_assert(
    reply.has_value(), "no end of the call to %s", aRequest.target_.c_str());
  return *reply;
}

nlohmann::json
Deployment::Get(const Address& aAddress, const std::string& aTarget)
{
  HttpClientRequest request;
  request.address_ = aAddress;
  request.target_ = aTarget;
  request.headers_ = { { "Authorization",
                         std::string("Bearer ") + kOperatorToken } };
  const HttpClientReply reply = Fetch(request);
  cr_assert_eq(reply.status_,
               200,
               "%s gave %d: %s",
               aTarget.c_str(),
               reply.status_,
               reply.body_.c_str());
  return nlohmann::json::parse(reply.body_);
}

void
Deployment::Post(const Address& aAddress,
                 const std::string& aTarget,
                 const nlohmann::json& aBody)
{
  HttpClientRequest request;
  request.address_ = aAddress;
  request.method_ = HttpMethod::Post;
  request.target_ = aTarget;
  request.body_ = aBody.dump();
  request.mayReuseConnection_ = false;
  const HttpClientReply reply = Fetch(request);
  cr_assert(reply.status_ >= 200 && reply.status_ < 300,
            "%s gave %d: %s",
            aTarget.c_str(),
            reply.status_,
            reply.body_.c_str());
}

int
Deployment::PutResource(unsigned aEntry, const nlohmann::json& aResource)
{
  HttpClientRequest request;
  request.address_ = OperatorAddress(aEntry);
  request.method_ = HttpMethod::Put;
  request.target_ = "/apis/v1/" + aResource.at("kind").get<std::string>() +
                    "/" +
                    aResource.at("metadata").at("name").get<std::string>();
  request.headers_ = { { "Authorization",
                         std::string("Bearer ") + kOperatorToken },
                       { "Content-Type", "application/json" } };
  request.body_ = aResource.dump();
  return Fetch(request).status_;
}

bool
Deployment::WaitFor(const std::function<bool()>& aDone, int aSeconds)
{
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::seconds(aSeconds);
  while (!aDone()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    loop_.RunUntil(aDone, std::chrono::milliseconds(20));
  }
  return true;
}

void
Deployment::List(const nlohmann::json& aInstance)
{
  const std::string id = aInstance.at("id");
  listed_[id] = aInstance;
  HttpClientRequest request;
  request.address_ = platformAddress_;
  request.method_ = HttpMethod::Put;
  request.target_ = "/v1/instances/" + id;
  request.body_ = aInstance.dump();
  const HttpClientReply reply = Fetch(request);
  cr_assert(reply.status_ >= 200 && reply.status_ < 300,
            "listing %s gave %d",
            id.c_str(),
            reply.status_);
}

void
Deployment::SetState(const std::string& aId, const std::string& aState)
{
  nlohmann::json instance = listed_.at(aId);
  instance["state"] = aState;
  List(instance);
}

void
Deployment::Notice(const std::string& aId, int aSeconds)
{
  Post(platformAddress_,
       "/v1/instances/" + aId + "/notice",
       { { "seconds", aSeconds } });
}

} // namespace sycamoreward
