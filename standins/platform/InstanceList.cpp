#include "platform/InstanceList.h"

namespace sycamoreward::platform {

using Json = nlohmann::json;

void
InstanceList::Put(const Json& aInstance, MonotonicTime aNow)
{
  changes_.push_back({ aInstance, aNow });
}

bool
InstanceList::Remove(const std::string& aId, MonotonicTime aNow)
{
  for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
    if (change->instance_.at("id") == aId) {
      Json instance = change->instance_;
      instance["state"] = "gone";
      Put(instance, aNow);
      return true;
    }
  }
  return false;
}

Json
InstanceList::Read(std::uint64_t aSince,
                   Duration aLag,
                   MonotonicTime aNow) const
{
  std::uint64_t version = 0;
  std::map<std::string, Json> latest;
  for (const Change& change : changes_) {
    if (change.time_ + aLag > aNow) {
      break;
    }
    ++version;
    if (version > aSince) {
      latest[change.instance_.at("id").get<std::string>()] = change.instance_;
    }
  }
  Json instances = Json::array();
  for (const auto& entry : latest) {
    instances.push_back(entry.second);
  }
  return { { "version", version }, { "instances", instances } };
}

} // namespace sycamoreward::platform
