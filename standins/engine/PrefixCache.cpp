#include "engine/PrefixCache.h"

namespace sycamoreward::standin {

namespace {

constexpr std::size_t kMaxEvents = 8192;

void
AddEvent(PrefixCache& aCache,
         bool aIsStored,
         std::uint64_t aBlock,
         MonotonicTime aNow)
{
  const std::uint64_t number = aCache.nextEvent_++;
  std::uniform_real_distribution<double> fraction(0, 1);
  if (fraction(aCache.random_) < aCache.eventLossRate_) {
    return;
  }
  aCache.events_.push_back({ number, aIsStored, aBlock, aNow });
  if (aCache.events_.size() > kMaxEvents) {
    aCache.events_.pop_front();
  }
}

} // namespace

std::size_t
MatchBlocks(PrefixCache& aCache, const std::vector<std::uint64_t>& aHashes)
{
  std::size_t matched = 0;
  for (const std::uint64_t hash : aHashes) {
    const auto found = aCache.index_.find(hash);
    if (found == aCache.index_.end()) {
      break;
    }
    aCache.blocks_.splice(
      aCache.blocks_.begin(), aCache.blocks_, found->second);
    ++matched;
  }
  return matched;
}

void
StoreBlocks(PrefixCache& aCache,
            const std::vector<std::uint64_t>& aHashes,
            MonotonicTime aNow)
{
  for (const std::uint64_t hash : aHashes) {
    if (aCache.index_.count(hash) != 0) {
      continue;
    }
    if (aCache.blocks_.size() >= aCache.capacityBlocks_ &&
        !aCache.blocks_.empty()) {
      const std::uint64_t evicted = aCache.blocks_.back();
      aCache.blocks_.pop_back();
      aCache.index_.erase(evicted);
      AddEvent(aCache, false, evicted, aNow);
    }
    aCache.blocks_.push_front(hash);
    aCache.index_[hash] = aCache.blocks_.begin();
    AddEvent(aCache, true, hash, aNow);
  }
}

} // namespace sycamoreward::standin
