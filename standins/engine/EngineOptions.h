#pragma once

// Settings, faults and counters of the engine stand-in.

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sycamoreward::standin {

struct EngineOptions
{
  std::string id_ = "engine";
  std::string pool_ = "engines";
  // Model in service; empty accepts any.
  std::string model_;
  unsigned slots_ = 16;
  unsigned maxWaiting_ = 64;
  // Duration of a step: base, plus this for each running request, plus this for
  // each prompt token to compute.
  Duration stepBase_{ 2000 };
  Duration stepPerRequest_{ 100 };
  Duration prefillPerToken_{ 20 };
  std::uint64_t cacheTokens_ = 65536;
  std::uint64_t kvBytesPerToken_ = 131072;
  // Rate of KV export and import.
  std::uint64_t kvBytesPerSecond_ = 1000000000;
  Duration cacheEventLag_ = std::chrono::milliseconds(200);
  // Whether an order with an old fencing number is refused.
  bool checksFencing_ = true;
};

struct EngineFaults
{
  double slowdown_ = 1;
  bool isSuspended_ = false;
  bool isRefusing_ = false;
  bool isLeaving_ = false;
  // Cuts each answer after this many tokens of it; 0 cuts none.
  std::uint64_t cutAfterTokens_ = 0;
  Duration loadLag_{ 0 };
};

// What the engine did for one request id.
struct RequestRuns
{
  std::vector<std::uint64_t> attempts_;
  unsigned completed_ = 0;
  unsigned cancelled_ = 0;
  std::uint64_t tokens_ = 0;
};

struct EngineCounters
{
  std::map<std::string, RequestRuns> requests_;
  std::uint64_t tokensComputed_ = 0;
  std::uint64_t tokensPrefilled_ = 0;
  // Prompt and resumed tokens computed for an attempt after the first.
  std::uint64_t tokensRecomputed_ = 0;
  std::uint64_t refused_ = 0;
  WallTime lastAccepted_{};
  std::uint64_t staleOrdersApplied_ = 0;
  std::uint64_t staleOrdersRefused_ = 0;
};

// What orders have set.
struct EngineOrders
{
  std::uint64_t fencing_ = 0;
  std::string version_;
  std::string role_ = "serve";
  std::set<std::string> adapters_;
};

} // namespace sycamoreward::standin
