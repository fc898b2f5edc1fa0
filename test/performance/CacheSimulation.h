#pragma once

// Simulation of prompts with shared prefixes behind several entry instances,
// over the prefix caches of the engine stand-in. Counts what is computed again.

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
  // Knows the contents of each cache and the load of each server, and takes
  // the longest match within the same bound of load.
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
  // Workspace k gets a share of 1/k of the requests, and document k of a
  // workspace a share of 1/k of the workspace's.
  std::size_t workspaces_ = 5;
  std::size_t documents_ = 300;
  // Blocks of a workspace's instructions, of a document, and of a question.
  std::size_t instructionBlocks_ = 24;
  std::size_t documentBlocks_ = 48;
  std::size_t questionBlocks_ = 4;
  double seconds_ = 900;
  std::uint64_t seed_ = 1;
};

struct CacheFigures
{
  std::uint64_t prompt_ = 0;
  // Blocks that some engine had computed before.
  std::uint64_t recomputed_ = 0;
};

// Figures after a warm-up of a third of the time.
CacheFigures
RunCacheSimulation(const CacheSetting& aSetting);

} // namespace sycamoreward::simulation
