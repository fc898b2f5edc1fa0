#pragma once

// Settings, faults and counters of the engine stand-in.

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sycamoreward::standin {

// Configuration of an engine stand-in.
struct EngineOptions
{
  std::string id_ = "engine";
  std::string pool_ = "engines";
  // Name of the served model; empty accepts requests for any model.
  std::string model_;
  unsigned slots_ = 16;
  unsigned maxWaiting_ = 64;
  // A step takes stepBase_, plus stepPerRequest_ for each running request, plus
  // prefillPerToken_ for each token to prefill.
  Duration stepBase_{ 2000 };
  Duration stepPerRequest_{ 100 };
  Duration prefillPerToken_{ 20 };
  std::uint64_t cacheTokens_ = 65536;
  std::uint64_t kvBytesPerToken_ = 131072;
  // Bandwidth of KV exports and imports.
  std::uint64_t kvBytesPerSecond_ = 1000000000;
  Duration cacheEventLag_ = std::chrono::milliseconds(200);
  // Whether orders with a stale fencing number are refused.
  bool checksFencing_ = true;
};

// Faults to inject.
struct EngineFaults
{
  double slowdown_ = 1;
  bool isSuspended_ = false;
  bool isRefusing_ = false;
  bool isLeaving_ = false;
  // Closes the connection after this many tokens of each answer; 0 disables.
  std::uint64_t cutAfterTokens_ = 0;
  Duration loadLag_{ 0 };
};

// Attempts and results of one request id at this engine.
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
  // Tokens prefilled for attempts after the first and for resumed requests.
  std::uint64_t tokensRecomputed_ = 0;
  std::uint64_t refused_ = 0;
  WallTime lastAccepted_{};
  std::uint64_t staleOrdersApplied_ = 0;
  std::uint64_t staleOrdersRefused_ = 0;
};

// State set by orders (POST /orders).
struct EngineOrders
{
  std::uint64_t fencing_ = 0;
  std::string version_;
  std::string role_ = "serve";
  std::set<std::string> adapters_;
};

} // namespace sycamoreward::standin
