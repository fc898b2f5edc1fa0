#pragma once

// Simulates prompts with shared prefixes behind several entry instances, using
// the prefix caches of the engine stand-in. Counts recomputed blocks.

#include "engine/PrefixCache.h"
#include "routing/ChooseServer.h"

#include <memory>
#include <queue>
#include <set>
#include <unordered_set>

namespace sycamoreward::simulation {

enum class CachePolicy
{
  Affinity,
  Random,
  // Knows the contents of each cache and the load of each server, and chooses
  // the longest match within the same load bound.
  Oracle
};

struct CacheSetting
{
  CachePolicy policy_ = CachePolicy::Affinity;
  std::size_t servers_ = 20;
  std::size_t instances_ = 6;
  unsigned slots_ = 16;
  std::size_t cacheBlocks_ = 4096;
  double requestsPerSecond_ = 100;
  double meanSeconds_ = 1.5;
  // Zipf distributions: workspace k gets a share of the requests proportional
  // to 1/k, and document k of a workspace a share proportional to 1/k of those.
  std::size_t workspaces_ = 5;
  std::size_t documents_ = 300;
  // Number of blocks in a workspace's instructions, in a document and in a
  // question.
  std::size_t instructionBlocks_ = 24;
  std::size_t documentBlocks_ = 48;
  std::size_t questionBlocks_ = 4;
  double seconds_ = 900;
  std::uint64_t seed_ = 1;
};

struct CacheFigures
{
  std::uint64_t prompt_ = 0;
  // Blocks that some engine had already computed.
  std::uint64_t recomputed_ = 0;
};

// Runs the simulation. Counts only after a warm-up of a third of the time.
CacheFigures
RunCacheSimulation(const CacheSetting& aSetting);

} // namespace sycamoreward::simulation
