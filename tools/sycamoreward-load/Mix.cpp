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

constexpr std::size_t kClasses = 4;
constexpr std::array<const char*, kClasses> kNames{ "reviews",
                                                    "queries",
                                                    "records",
                                                    "look-ups" };
// Spread of the lengths: a lognormal distribution whose 99th percentile is
// about 6 times its median.
constexpr double kLengthSpread = 0.8;

struct ClassFigures
{
  unsigned started_ = 0;
  std::array<unsigned, 4> ends_{};
  unsigned wrong_ = 0;
  std::uint64_t tries_ = 0;
  Samples whole_;
  Samples firstByte_;
  Samples gaps_;
};

struct Planned
{
  std::size_t class_ = 0;
  Duration start_{ 0 };
  CallSpec spec_;
  std::string prompt_;
  std::uint64_t tokens_ = 0;
};

std::uint64_t
DrawLength(std::mt19937_64& aRandom, std::uint64_t aMedian, std::uint64_t aMost)
{
  std::lognormal_distribution<double> lengths(std::log(double(aMedian)),
                                              kLengthSpread);
  const double length = std::clamp(lengths(aRandom), 1.0, double(aMost));
  return std::uint64_t(length);
}

// Workspace k of n gets a share of 1/k, so that a few are large.
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

Planned
PlanCall(const MixOptions& aOptions,
         std::size_t aClass,
         std::uint64_t aNumber,
         std::mt19937_64& aRandom)
{
  Planned call;
  call.class_ = aClass;
  const std::string name = kNames[aClass] + std::string("-") +
                           std::to_string(aOptions.seed_) + "-" +
                           std::to_string(aNumber);
  call.spec_.token_ = DrawToken(aRandom, aOptions.tokens_);
  call.spec_.key_ = name;
  if (aClass < 2) {
    const bool isReview = aClass == 0;
    call.tokens_ =
      DrawLength(aRandom,
                 isReview ? aOptions.reviewTokens_ : aOptions.queryTokens_,
                 aOptions.maxTokens_);
    // Reviews come with long prompts.
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

std::vector<Planned>
PlanCalls(const MixOptions& aOptions)
{
  const std::array<double, kClasses> rates{ aOptions.reviewRate_,
                                            aOptions.queryRate_,
                                            aOptions.recordRate_,
                                            aOptions.lookupRate_ };
  std::vector<Planned> calls;
  for (std::size_t index = 0; index < kClasses; ++index) {
    // A sequence of its own for each class, so that the rate of one does not
    // change the calls of another.
    std::mt19937_64 random(aOptions.seed_ * kClasses + index);
    if (rates[index] <= 0) {
      continue;
    }
    std::exponential_distribution<double> pauses(rates[index]);
    double at = pauses(random);
    for (std::uint64_t number = 0; at < double(aOptions.length_.count());
         ++number) {
      calls.push_back(PlanCall(aOptions, index, number, random));
      calls.back().start_ = Duration(std::int64_t(at * 1e6));
      at += pauses(random);
    }
  }
  return calls;
}

void
TakeResult(const MixOptions& aOptions,
           const Planned& aCall,
           CallResult aResult,
           ClassFigures& aFigures)
{
  ++aFigures.ends_[std::size_t(aResult.end_)];
  aFigures.tries_ += aResult.tries_;
  if (aResult.end_ != CallEnd::Completed) {
    return;
  }
  aFigures.whole_.Add(aResult.whole_);
  aFigures.firstByte_.Add(aResult.firstByte_);
  for (const Duration gap : aResult.gaps_) {
    aFigures.gaps_.Add(gap);
  }
  if (aOptions.checksText_ && aCall.class_ < 2) {
    const auto expected = ExpectedText(aCall.prompt_, aCall.tokens_);
    aFigures.wrong_ += expected && *expected != aResult.text_ ? 1 : 0;
  }
}

void
PrintTable(std::array<ClassFigures, kClasses>& aFigures)
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
  for (std::size_t index = 0; index < kClasses; ++index) {
    ClassFigures& figures = aFigures[index];
    std::vector<std::string> row{ kNames[index],
                                  std::to_string(figures.started_) };
    for (const unsigned count : figures.ends_) {
      row.push_back(std::to_string(count));
    }
    row.push_back(std::to_string(figures.wrong_));
    row.push_back(std::to_string(figures.tries_));
    for (const double percent : { 50.0, 95.0, 99.0, 99.9 }) {
      row.push_back(FormatMilliseconds(figures.whole_.Percentile(percent)));
    }
    row.push_back(FormatMilliseconds(figures.firstByte_.Percentile(95)));
    row.push_back(FormatMilliseconds(figures.gaps_.Percentile(95)));
    rows.push_back(std::move(row));
  }
  std::cout << FormatTable(rows);
}

void
PrintJson(std::array<ClassFigures, kClasses>& aFigures)
{
  json report = json::object();
  for (std::size_t index = 0; index < kClasses; ++index) {
    ClassFigures& figures = aFigures[index];
    report[kNames[index]] = {
      { "started", figures.started_ },
      { "completed", figures.ends_[std::size_t(CallEnd::Completed)] },
      { "failed", figures.ends_[std::size_t(CallEnd::Failed)] },
      { "notRun", figures.ends_[std::size_t(CallEnd::NotRun)] },
      { "unknown", figures.ends_[std::size_t(CallEnd::Unknown)] },
      { "wrong", figures.wrong_ },
      { "tries", figures.tries_ },
      { "p50Ms", figures.whole_.Percentile(50) },
      { "p95Ms", figures.whole_.Percentile(95) },
      { "p99Ms", figures.whole_.Percentile(99) },
      { "p999Ms", figures.whole_.Percentile(99.9) },
      { "firstByteP95Ms", figures.firstByte_.Percentile(95) },
      { "gapP95Ms", figures.gaps_.Percentile(95) }
    };
  }
  std::cout << report.dump(2) << "\n";
}

// Missing answers are those that neither completed nor ended with an error.
int
CheckCounts(const std::array<ClassFigures, kClasses>& aFigures)
{
  unsigned bad = 0;
  for (const ClassFigures& figures : aFigures) {
    unsigned ended = 0;
    for (const unsigned count : figures.ends_) {
      ended += count;
    }
    bad += figures.started_ - ended + figures.wrong_;
  }
  return bad == 0 ? 0 : 1;
}

} // namespace

int
RunMix(const MixOptions& aOptions)
{
  if (aOptions.checksText_ && !ExpectedText("", 1)) {
    std::cerr << "This build has no engine stand-in to check texts with.\n";
    return 2;
  }
  SystemClock clock;
  EventLoop loop(clock);
  Caller caller(loop, aOptions.addresses_);
  caller.RefreshAddresses();
  const std::vector<Planned> calls = PlanCalls(aOptions);
  std::array<ClassFigures, kClasses> figures;
  std::size_t ended = 0;
  for (const Planned& call : calls) {
    loop.CallAfter(call.start_, [&] {
      ClassFigures& own = figures[call.class_];
      ++own.started_;
      caller.Start(call.spec_, [&](CallResult aResult) {
        ++ended;
        TakeResult(aOptions, call, std::move(aResult), own);
      });
    });
  }
  loop.RunUntil([&] { return ended == calls.size(); },
                aOptions.length_ + std::chrono::minutes(5));
  if (aOptions.isJson_) {
    PrintJson(figures);
  } else {
    std::cout << DescribeMachine() << "seed: " << aOptions.seed_ << "\n\n";
    PrintTable(figures);
  }
  return CheckCounts(figures);
}

} // namespace sycamoreward::load
