#include "configuration/ServerListState.h"

#include "base/BoundedJson.h"
#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Maximum number of gone instances that are kept, so that peers can be told
// about them. Beyond it, all of them are dropped.
constexpr std::size_t kMaxGoneInstances = 1000;
constexpr std::size_t kMaxLeavingServers = 4096;

const char* const kGone = "gone";

std::string
TextField(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() || found->is_null()) {
    return "";
  }
  if (!found->is_string()) {
    throw UserError("read instance list",
                    "",
                    "The field \"" + std::string(aName) +
                      "\" of an instance is " + found->dump().substr(0, 100) +
                      " and not a string.");
  }
  return found->get<std::string>();
}

ListedInstance
ReadInstance(const Json& aObject)
{
  if (!aObject.is_object()) {
    throw UserError(
      "read instance list", "", "An instance of the list is not an object.");
  }
  ListedInstance instance;
  instance.id_ = TextField(aObject, "id");
  instance.role_ = TextField(aObject, "role");
  instance.pool_ = TextField(aObject, "pool");
  instance.failureDomain_ =
    FailureDomainId(TextField(aObject, "failureDomain"));
  instance.region_ = RegionId(TextField(aObject, "region"));
  instance.state_ = TextField(aObject, "state");
  if (instance.id_.empty()) {
    throw UserError(
      "read instance list", "", "An instance of the list has no id.");
  }
  if (instance.state_ != kGone) {
    instance.address_ = ParseAddress(TextField(aObject, "address"));
  }
  return instance;
}

} // namespace

ListUpdate
ParseInstanceList(const std::string& aText, std::uint64_t aSince)
{
  const Json json = ParseBoundedJson(aText);
  if (!json.is_object() || !json.contains("version") ||
      !json["version"].is_number_unsigned() || !json.contains("instances") ||
      !json["instances"].is_array()) {
    throw UserError("read instance list",
                    "",
                    "The platform's list " + aText.substr(0, 100) +
                      " has no version or no instances.");
  }
  ListUpdate update;
  update.isSnapshot_ = aSince == 0;
  update.after_ = aSince;
  update.version_ = json["version"].get<std::uint64_t>();
  for (const Json& instance : json["instances"]) {
    update.instances_.push_back(ReadInstance(instance));
  }
  return update;
}

std::string
FormatListedInstance(const ListedInstance& aInstance)
{
  Json json{ { "id", aInstance.id_ },
             { "role", aInstance.role_ },
             { "pool", aInstance.pool_ },
             { "failureDomain", aInstance.failureDomain_.Value() },
             { "region", aInstance.region_.Value() },
             { "state", aInstance.state_ } };
  if (aInstance.state_ != kGone) {
    json["address"] = ToString(aInstance.address_);
  }
  return json.dump();
}

ListedInstance
ParseListedInstance(const std::string& aText)
{
  return ReadInstance(ParseBoundedJson(aText));
}

bool
ServerListState::Apply(const ListUpdate& aUpdate)
{
  const bool isGap = !aUpdate.isSnapshot_ && aUpdate.after_ > version_;
  if (aUpdate.version_ <= version_ || isGap) {
    return false;
  }
  if (aUpdate.isSnapshot_) {
    entries_.clear();
    historyStart_ = aUpdate.version_;
  }
  for (const ListedInstance& instance : aUpdate.instances_) {
    entries_[instance.id_] = Entry{ instance, aUpdate.version_ };
    if (instance.state_ == kGone) {
      leaving_.erase(ServerId(instance.id_));
    }
  }
  version_ = aUpdate.version_;
  EvictGone();
  return true;
}

void
ServerListState::EvictGone()
{
  const auto isGone = [](const auto& aEntry) {
    return aEntry.second.instance_.state_ == kGone;
  };
  const auto count = std::count_if(entries_.begin(), entries_.end(), isGone);
  if (std::size_t(count) <= kMaxGoneInstances) {
    return;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = isGone(*it) ? entries_.erase(it) : std::next(it);
  }
  historyStart_ = version_;
}

ListUpdate
ServerListState::UpdateAfter(std::uint64_t aVersion) const
{
  ListUpdate update;
  update.isSnapshot_ = aVersion == 0 || aVersion < historyStart_;
  update.after_ = update.isSnapshot_ ? 0 : std::min(aVersion, version_);
  update.version_ = version_;
  for (const auto& [id, entry] : entries_) {
    const bool isIncluded = update.isSnapshot_ ? entry.instance_.state_ != kGone
                                               : entry.version_ > aVersion;
    if (isIncluded) {
      update.instances_.push_back(entry.instance_);
    }
  }
  return update;
}

bool
ServerListState::AddLeaving(const ServerId& aServer)
{
  if (leaving_.size() >= kMaxLeavingServers) {
    for (auto it = leaving_.begin(); it != leaving_.end();) {
      it =
        entries_.count(it->Value()) == 0 ? leaving_.erase(it) : std::next(it);
    }
  }
  return leaving_.size() < kMaxLeavingServers &&
         leaving_.insert(aServer).second;
}

bool
ServerListState::IsGone(const InstanceId& aInstance) const
{
  if (version_ == 0) {
    return false;
  }
  const auto found = entries_.find(aInstance.Value());
  return found == entries_.end() || found->second.instance_.state_ == kGone;
}

std::vector<Server>
ServerListState::Servers() const
{
  std::vector<Server> servers;
  for (const auto& [id, entry] : entries_) {
    const ListedInstance& instance = entry.instance_;
    if (instance.role_ == "entry" || instance.state_ == kGone) {
      continue;
    }
    Server server;
    server.id_ = ServerId(id);
    server.pool_ = PoolName(instance.pool_);
    server.address_ = instance.address_;
    server.failureDomain_ = instance.failureDomain_;
    const bool isLeaving =
      instance.state_ == "leaving" || leaving_.count(server.id_) != 0;
    server.state_ = isLeaving ? ServerState::Leaving : ServerState::Live;
    servers.push_back(std::move(server));
  }
  return servers;
}

std::vector<PeerIdentity>
ServerListState::Entries() const
{
  std::vector<PeerIdentity> entries;
  for (const auto& [id, entry] : entries_) {
    const ListedInstance& instance = entry.instance_;
    if (instance.role_ == "entry" && instance.state_ != kGone) {
      PeerIdentity identity;
      identity.instance_ = InstanceId(id);
      identity.failureDomain_ = instance.failureDomain_;
      identity.region_ = instance.region_;
      identity.peerAddress_ = instance.address_;
      entries.push_back(std::move(identity));
    }
  }
  return entries;
}

} // namespace sycamoreward
