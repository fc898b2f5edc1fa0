#pragma once

// The platform's list of instances. A change shows only after a lag.

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
  // Adds or replaces an instance; aInstance carries its id.
  void Put(const nlohmann::json& aInstance, MonotonicTime aNow);

  // Marks an instance as gone. False when there is none.
  bool Remove(const std::string& aId, MonotonicTime aNow);

  // The latest state of each instance that changed after version aSince and
  // whose change is older than aLag.
  nlohmann::json Read(std::uint64_t aSince,
                      Duration aLag,
                      MonotonicTime aNow) const;

private:
  struct Change
  {
    nlohmann::json instance_;
    MonotonicTime time_;
  };
  // The change at index N-1 made version N.
  std::vector<Change> changes_;
};

} // namespace sycamoreward::platform
