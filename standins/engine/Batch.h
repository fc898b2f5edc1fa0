#pragma once

// Continuous batching of the engine stand-in: admits requests to the batch and
// computes the duration of a step.

#include "engine/EngineOptions.h"
#include "engine/PrefixCache.h"
#include "runtime/HttpServer.h"

#include <memory>
#include <string>
#include <vector>

namespace sycamoreward::standin {

// State of one request at the engine.
struct Run
{
  std::string id_;
  std::string model_;
  std::uint64_t attempt_ = 1;
  std::string prompt_;
  std::uint64_t maxTokens_ = 0;
  // Index of the next token to generate, and one past the last token of the
  // answer.
  std::uint64_t nextToken_ = 0;
  std::uint64_t endToken_ = 0;
  std::uint64_t resumedTokens_ = 0;
  // Requests with lower values are admitted first.
  int priority_ = 0;
  std::uint64_t arrivalOrder_ = 0;
  bool isStream_ = false;
  bool isChat_ = false;
  bool isCancelled_ = false;
  std::string text_;
  std::shared_ptr<HttpExchange> exchange_;
};

// The requests of the engine: those in the current batch and those that wait
// for a slot.
struct Batch
{
  std::vector<std::shared_ptr<Run>> running_;
  std::vector<std::shared_ptr<Run>> waiting_;
  // Number of tokens whose KV was imported from another engine, by request id.
  std::map<std::string, std::uint64_t> importedTokens_;
};

// Removes cancelled requests, then fills free slots in order of priority and
// arrival. Returns the number of tokens to prefill for the admitted requests.
std::uint64_t
AdmitWaiting(Batch& aBatch,
             PrefixCache& aCache,
             const EngineOptions& aOptions,
             EngineCounters& aCounters,
             MonotonicTime aNow);

// Returns the duration of one step over the running requests.
Duration
StepDuration(const Batch& aBatch,
             std::uint64_t aPrefillTokens,
             const EngineOptions& aOptions,
             double aSlowdown);

// Returns the number of tokens that the running requests hold in the KV cache.
std::uint64_t
CountKvTokens(const Batch& aBatch);

} // namespace sycamoreward::standin
