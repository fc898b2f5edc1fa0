#include "engine/Batch.h"

#include "engine/Generate.h"

#include <algorithm>

namespace sycamoreward::standin {

namespace {

constexpr std::size_t kMaxImportedRequests = 1024;

void
DropCancelled(std::vector<std::shared_ptr<Run>>& aRuns,
              EngineCounters& aCounters)
{
  const auto end =
    std::remove_if(aRuns.begin(), aRuns.end(), [&](const auto& aRun) {
      if (aRun->isCancelled_) {
        ++aCounters.requests_[aRun->id_].cancelled_;
      }
      return aRun->isCancelled_;
    });
  aRuns.erase(end, aRuns.end());
}

// Returns how many tokens of the prompt and of the resumed answer must be
// computed, that is, are neither in the prefix cache nor imported.
std::uint64_t
PrefillTokens(const Run& aRun,
              Batch& aBatch,
              PrefixCache& aCache,
              MonotonicTime aNow)
{
  const auto hashes = BlockHashes(aRun.prompt_);
  const std::uint64_t cached = MatchBlocks(aCache, hashes) * kBlockTokens;
  StoreBlocks(aCache, hashes, aNow);
  const std::uint64_t total = CountTokens(aRun.prompt_) + aRun.resumedTokens_;
  std::uint64_t known = cached;
  const auto imported = aBatch.importedTokens_.find(aRun.id_);
  if (imported != aBatch.importedTokens_.end()) {
    known = std::max(known, imported->second);
    aBatch.importedTokens_.erase(imported);
  }
  if (aBatch.importedTokens_.size() > kMaxImportedRequests) {
    aBatch.importedTokens_.erase(aBatch.importedTokens_.begin());
  }
  return total - std::min(total, known);
}

} // namespace

std::uint64_t
AdmitWaiting(Batch& aBatch,
             PrefixCache& aCache,
             const EngineOptions& aOptions,
             EngineCounters& aCounters,
             MonotonicTime aNow)
{
  DropCancelled(aBatch.running_, aCounters);
  DropCancelled(aBatch.waiting_, aCounters);
  std::sort(aBatch.waiting_.begin(),
            aBatch.waiting_.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft->priority_ != aRight->priority_
                       ? aLeft->priority_ < aRight->priority_
                       : aLeft->arrivalOrder_ < aRight->arrivalOrder_;
            });
  std::uint64_t prefill = 0;
  while (!aBatch.waiting_.empty() && aBatch.running_.size() < aOptions.slots_) {
    const auto run = aBatch.waiting_.front();
    aBatch.waiting_.erase(aBatch.waiting_.begin());
    const std::uint64_t tokens = PrefillTokens(*run, aBatch, aCache, aNow);
    prefill += tokens;
    aCounters.tokensPrefilled_ += tokens;
    if (run->attempt_ > 1 || run->resumedTokens_ > 0) {
      aCounters.tokensRecomputed_ += tokens;
    }
    aBatch.running_.push_back(run);
  }
  return prefill;
}

Duration
StepDuration(const Batch& aBatch,
             std::uint64_t aPrefillTokens,
             const EngineOptions& aOptions,
             double aSlowdown)
{
  const Duration time =
    aOptions.stepBase_ +
    aOptions.stepPerRequest_ * std::int64_t(aBatch.running_.size()) +
    aOptions.prefillPerToken_ * std::int64_t(aPrefillTokens);
  return Duration(std::int64_t(double(time.count()) * aSlowdown));
}

std::uint64_t
CountKvTokens(const Batch& aBatch)
{
  std::uint64_t tokens = 0;
  for (const auto& run : aBatch.running_) {
    tokens += CountTokens(run->prompt_) + run->nextToken_;
  }
  return tokens;
}

} // namespace sycamoreward::standin
