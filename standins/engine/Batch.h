#pragma once

// Continuous batching of the engine stand-in: which requests run, and what one
// step costs and produces.

#include "engine/EngineOptions.h"
#include "engine/PrefixCache.h"
#include "runtime/HttpServer.h"

#include <memory>
#include <string>
#include <vector>

namespace sycamoreward::standin {

// One request at the engine.
struct Run
{
  std::string id_;
  std::string model_;
  std::uint64_t attempt_ = 1;
  std::string prompt_;
  std::uint64_t maxTokens_ = 0;
  // Index of the next token, and of the end of the answer.
  std::uint64_t nextToken_ = 0;
  std::uint64_t endToken_ = 0;
  std::uint64_t resumedTokens_ = 0;
  // Lower runs first.
  int priority_ = 0;
  std::uint64_t arrivalOrder_ = 0;
  bool isStream_ = false;
  bool isChat_ = false;
  bool isCancelled_ = false;
  std::string text_;
  std::shared_ptr<HttpExchange> exchange_;
};

struct Batch
{
  std::vector<std::shared_ptr<Run>> running_;
  std::vector<std::shared_ptr<Run>> waiting_;
  // KV of requests moved here from another engine, in tokens.
  std::map<std::string, std::uint64_t> importedTokens_;
};

// Drops the cancelled requests, then fills free slots in order of priority and
// arrival. Returns the number of prompt tokens to compute for them.
std::uint64_t
AdmitWaiting(Batch& aBatch,
             PrefixCache& aCache,
             const EngineOptions& aOptions,
             EngineCounters& aCounters,
             MonotonicTime aNow);

// Duration of a step over the running requests.
Duration
StepDuration(const Batch& aBatch,
             std::uint64_t aPrefillTokens,
             const EngineOptions& aOptions,
             double aSlowdown);

// Tokens that the running requests hold.
std::uint64_t
CountKvTokens(const Batch& aBatch);

} // namespace sycamoreward::standin
