#pragma once

// The platform's list of instances. Changes become visible after a lag.

#include "base/Clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamoreward::platform {

class InstanceList
{
public:
  // Adds or replaces the instance with the id in aInstance.
  void Put(const nlohmann::json& aInstance, MonotonicTime aNow);

  // Marks an instance as gone. Returns false if it does not exist.
  bool Remove(const std::string& aId, MonotonicTime aNow);

  // Returns the latest state of each instance that changed after version
  // aSince, considering only changes at least aLag old.
  nlohmann::json Read(std::uint64_t aSince,
                      Duration aLag,
                      MonotonicTime aNow) const;

private:
  struct Change
  {
    nlohmann::json instance_;
    MonotonicTime time_;
  };
  // The change at index N-1 created version N.
  std::vector<Change> changes_;
};

} // namespace sycamoreward::platform
