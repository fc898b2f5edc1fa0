#pragma once

// Prefix cache of the engine stand-in: blocks of prompt text with least
// recently used eviction, and a log of store and eviction events.

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
  // Fraction of the events that are lost, from 0 to 1.
  double eventLossRate_ = 0;
  // Most recently used first.
  std::list<std::uint64_t> blocks_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
  std::deque<CacheEvent> events_;
  std::uint64_t nextEvent_ = 1;
  std::mt19937_64 random_{ 1 };
};

// Returns how many leading blocks of aHashes are cached, and marks them as most
// recently used.
std::size_t
MatchBlocks(PrefixCache& aCache, const std::vector<std::uint64_t>& aHashes);

// Stores the blocks that are not cached, evicting the least recently used ones
// when the cache is full.
void
StoreBlocks(PrefixCache& aCache,
            const std::vector<std::uint64_t>& aHashes,
            MonotonicTime aNow);

} // namespace sycamoreward::standin
