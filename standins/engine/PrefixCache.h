#pragma once

// Prefix cache of the engine stand-in: blocks of prompt text with least
// recently used eviction, and the events about it.

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <unordered_map>
#include <vector>

namespace sycamoreward::standin {

struct CacheEvent
{
  std::uint64_t number_ = 0;
  bool isStored_ = true;
  std::uint64_t block_ = 0;
  MonotonicTime time_{};
};

struct PrefixCache
{
  std::size_t capacityBlocks_ = 4096;
  // Part of the events that are never reported.
  double eventLossRate_ = 0;
  // Most recently used first.
  std::list<std::uint64_t> blocks_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
  std::deque<CacheEvent> events_;
  std::uint64_t nextEvent_ = 1;
  std::mt19937_64 random_{ 1 };
};

// Number of leading blocks of aHashes in the cache; marks them as used.
std::size_t
MatchBlocks(PrefixCache& aCache, const std::vector<std::uint64_t>& aHashes);

// Stores blocks, evicting the least recently used ones.
void
StoreBlocks(PrefixCache& aCache,
            const std::vector<std::uint64_t>& aHashes,
            MonotonicTime aNow);

} // namespace sycamoreward::standin
