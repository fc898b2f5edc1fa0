#pragma once

// LRU estimate of the prompt parts that a server has cached, based on the
// requests that this instance sent to it.

#include "edge/WireCodec.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace sycamoreward::edge {

class CachedParts
{
public:
  // aLimit is the estimated cache size of the server in tokens. Above it, the
  // least recently used parts are evicted.
  explicit CachedParts(std::uint64_t aLimit = 0)
    : limit_(aLimit)
  {
  }

  void SetLimit(std::uint64_t aLimit) { limit_ = aLimit; }
  bool Has(std::uint64_t aPart) const { return parts_.count(aPart) != 0; }
  // Records that the server has read or used aPart and makes it the most
  // recently used one.
  void Touch(const PromptPart& aPart);

private:
  struct CachedPart
  {
    std::uint32_t tokens_ = 0;
    std::list<std::uint64_t>::iterator position_;
  };

  std::uint64_t limit_;
  std::uint64_t tokens_ = 0;
  // Least recently used first.
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, CachedPart> parts_;
};

} // namespace sycamoreward::edge
