#include "Mix.h"

#include "Caller.h"
#include "Expected.h"
#include "Stats.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <random>

namespace sycamoreward::load {

namespace {

using nlohmann::json;

constexpr std::size_t kClassCount = 4;
constexpr std::array<const char*, kClassCount> kClassNames{ "reviews",
                                                            "queries",
                                                            "records",
                                                            "look-ups" };
// Sigma of the lognormal distribution of answer lengths. Its 99th percentile is
// about 6 times its median.
constexpr double kLengthSigma = 0.8;

// Measurements of the calls of one class.
struct ClassStats
{
  unsigned started_ = 0;
  std::array<unsigned, 4> endCounts_{};
  unsigned wrongAnswers_ = 0;
  std::uint64_t attempts_ = 0;
  Samples totalTime_;
  Samples firstByte_;
  Samples tokenGaps_;
};

struct PlannedCall
{
  std::size_t classIndex_ = 0;
  Duration start_{ 0 };
  CallSpec spec_;
  std::string prompt_;
  std::uint64_t tokens_ = 0;
};

std::uint64_t
DrawLength(std::mt19937_64& aRandom, std::uint64_t aMedian, std::uint64_t aMax)
{
  std::lognormal_distribution<double> lengths(std::log(double(aMedian)),
                                              kLengthSigma);
  const double length = std::clamp(lengths(aRandom), 1.0, double(aMax));
  return std::uint64_t(length);
}

// Draws the token of workspace k with weight 1/k, so that a few workspaces send
// most of the requests.
std::string
DrawToken(std::mt19937_64& aRandom, const std::vector<std::string>& aTokens)
{
  std::vector<double> weights;
  for (std::size_t rank = 1; rank <= aTokens.size(); ++rank) {
    weights.push_back(1.0 / double(rank));
  }
  std::discrete_distribution<std::size_t> ranks(weights.begin(), weights.end());
  return aTokens[ranks(aRandom)];
}

PlannedCall
PlanCall(const MixOptions& aOptions,
         std::size_t aClass,
         std::uint64_t aNumber,
         std::mt19937_64& aRandom)
{
  PlannedCall call;
  call.classIndex_ = aClass;
  const std::string name = kClassNames[aClass] + std::string("-") +
                           std::to_string(aOptions.seed_) + "-" +
                           std::to_string(aNumber);
  call.spec_.token_ = DrawToken(aRandom, aOptions.tokens_);
  call.spec_.idempotencyKey_ = name;
  if (aClass < 2) {
    const bool isReview = aClass == 0;
    call.tokens_ =
      DrawLength(aRandom,
                 isReview ? aOptions.reviewTokens_ : aOptions.queryTokens_,
                 aOptions.maxTokens_);
    // Reviews have long prompts.
    call.prompt_ = name + std::string(isReview ? 8 * call.tokens_ : 64, '.');
    call.spec_.body_ = json{
      { "model", isReview ? aOptions.reviewService_ : aOptions.queryService_ },
      { "prompt", call.prompt_ },
      { "max_tokens", call.tokens_ },
      { "stream", true }
    }.dump();
    return call;
  }
  const bool isRecord = aClass == 2;
  call.spec_.isStream_ = false;
  call.spec_.method_ = isRecord ? HttpMethod::Post : HttpMethod::Get;
  call.spec_.target_ = "/services/" + aOptions.plainService_ +
                       (isRecord ? aOptions.recordPath_ : aOptions.lookupPath_);
  call.spec_.body_ = isRecord ? json{ { "record", name } }.dump() : "";
  return call;
}

std::vector<PlannedCall>
PlanCalls(const MixOptions& aOptions)
{
  const std::array<double, kClassCount> rates{ aOptions.reviewRate_,
                                               aOptions.queryRate_,
                                               aOptions.recordRate_,
                                               aOptions.lookupRate_ };
  std::vector<PlannedCall> calls;
  for (std::size_t index = 0; index < kClassCount; ++index) {
    // Each class has its own random sequence, so that the rate of one does not
    // change the calls of another.
    std::mt19937_64 random(aOptions.seed_ * kClassCount + index);
    if (rates[index] <= 0) {
      continue;
    }
    std::exponential_distribution<double> interarrivalSeconds(rates[index]);
    double startSeconds = interarrivalSeconds(random);
    for (std::uint64_t number = 0;
         startSeconds < double(aOptions.duration_.count());
         ++number) {
      calls.push_back(PlanCall(aOptions, index, number, random));
      calls.back().start_ = Duration(std::int64_t(startSeconds * 1e6));
      startSeconds += interarrivalSeconds(random);
    }
  }
  return calls;
}

void
RecordResult(const MixOptions& aOptions,
             const PlannedCall& aCall,
             CallResult aResult,
             ClassStats& aStats)
{
  ++aStats.endCounts_[std::size_t(aResult.end_)];
  aStats.attempts_ += aResult.attempts_;
  if (aResult.end_ != CallEnd::Completed) {
    return;
  }
  aStats.totalTime_.Add(aResult.totalTime_);
  aStats.firstByte_.Add(aResult.firstByte_);
  for (const Duration gap : aResult.tokenGaps_) {
    aStats.tokenGaps_.Add(gap);
  }
  if (aOptions.checksText_ && aCall.classIndex_ < 2) {
    const auto expected = ExpectedText(aCall.prompt_, aCall.tokens_);
    aStats.wrongAnswers_ += expected && *expected != aResult.text_ ? 1 : 0;
  }
}

void
PrintTable(std::array<ClassStats, kClassCount>& aStats)
{
  std::vector<std::vector<std::string>> rows{ { "class",
                                                "started",
                                                "completed",
                                                "failed",
                                                "not run",
                                                "unknown",
                                                "wrong",
                                                "tries",
                                                "p50 ms",
                                                "p95 ms",
                                                "p99 ms",
                                                "p99.9 ms",
                                                "first p95 ms",
                                                "gap p95 ms" } };
  for (std::size_t index = 0; index < kClassCount; ++index) {
    ClassStats& stats = aStats[index];
    std::vector<std::string> row{ kClassNames[index],
                                  std::to_string(stats.started_) };
    for (const unsigned count : stats.endCounts_) {
      row.push_back(std::to_string(count));
    }
    row.push_back(std::to_string(stats.wrongAnswers_));
    row.push_back(std::to_string(stats.attempts_));
    for (const double percent : { 50.0, 95.0, 99.0, 99.9 }) {
      row.push_back(FormatMilliseconds(stats.totalTime_.Percentile(percent)));
    }
    row.push_back(FormatMilliseconds(stats.firstByte_.Percentile(95)));
    row.push_back(FormatMilliseconds(stats.tokenGaps_.Percentile(95)));
    rows.push_back(std::move(row));
  }
  std::cout << FormatTable(rows);
}

void
PrintJson(std::array<ClassStats, kClassCount>& aStats)
{
  json report = json::object();
  for (std::size_t index = 0; index < kClassCount; ++index) {
    ClassStats& stats = aStats[index];
    report[kClassNames[index]] = {
      { "started", stats.started_ },
      { "completed", stats.endCounts_[std::size_t(CallEnd::Completed)] },
      { "failed", stats.endCounts_[std::size_t(CallEnd::Failed)] },
      { "notRun", stats.endCounts_[std::size_t(CallEnd::NotRun)] },
      { "unknown", stats.endCounts_[std::size_t(CallEnd::Unknown)] },
      { "wrong", stats.wrongAnswers_ },
      { "tries", stats.attempts_ },
      { "p50Ms", stats.totalTime_.Percentile(50) },
      { "p95Ms", stats.totalTime_.Percentile(95) },
      { "p99Ms", stats.totalTime_.Percentile(99) },
      { "p999Ms", stats.totalTime_.Percentile(99.9) },
      { "firstByteP95Ms", stats.firstByte_.Percentile(95) },
      { "gapP95Ms", stats.tokenGaps_.Percentile(95) }
    };
  }
  std::cout << report.dump(2) << "\n";
}

// Returns 1 when a call has not ended, whether completed or with an error, or
// when an answer is wrong; else 0.
int
ComputeExitCode(const std::array<ClassStats, kClassCount>& aStats)
{
  unsigned failures = 0;
  for (const ClassStats& stats : aStats) {
    unsigned ended = 0;
    for (const unsigned count : stats.endCounts_) {
      ended += count;
    }
    failures += stats.started_ - ended + stats.wrongAnswers_;
  }
  return failures == 0 ? 0 : 1;
}

} // namespace

int
RunMix(const MixOptions& aOptions)
{
  if (aOptions.checksText_ && !ExpectedText("", 1)) {
    std::cerr
      << "This build does not include the engine stand-in, so answers can't be "
         "checked.\n";
    return 2;
  }
  SystemClock clock;
  EventLoop loop(clock);
  Caller caller(loop, aOptions.addresses_);
  caller.RefreshAddresses();
  const std::vector<PlannedCall> calls = PlanCalls(aOptions);
  std::array<ClassStats, kClassCount> stats;
  std::size_t ended = 0;
  for (const PlannedCall& call : calls) {
    loop.CallAfter(call.start_, [&] {
      ClassStats& classStats = stats[call.classIndex_];
      ++classStats.started_;
      caller.Start(call.spec_, [&](CallResult aResult) {
        ++ended;
        RecordResult(aOptions, call, std::move(aResult), classStats);
      });
    });
  }
  loop.RunUntil([&] { return ended == calls.size(); },
                aOptions.duration_ + std::chrono::minutes(5));
  if (aOptions.printsJson_) {
    PrintJson(stats);
  } else {
    std::cout << DescribeHost() << "seed: " << aOptions.seed_ << "\n\n";
    PrintTable(stats);
  }
  return ComputeExitCode(stats);
}

} // namespace sycamoreward::load
