#include "Bench.h"

#include "Caller.h"
#include "Stats.h"
#include "StreamSource.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace sycamoreward::load {

namespace {

// Measurements of one worker, or of all workers together.
struct RunStats
{
  Samples firstByte_;
  Samples tokenGaps_;
  Samples totalTime_;
  std::uint64_t tokens_ = 0;
  unsigned completed_ = 0;
  unsigned notCompleted_ = 0;
  Duration duration_{ 0 };
};

// Starts calls at a constant rate on a separate event loop. The start times are
// interleaved with those of the other workers.
RunStats
RunCalls(const BenchOptions& aOptions,
         const Address& aAddress,
         unsigned aWorker)
{
  SystemClock clock;
  EventLoop loop(clock);
  Caller caller(loop, { aAddress });
  CallSpec spec;
  spec.token_ = aOptions.token_;
  spec.keepsText_ = false;
  spec.body_ = nlohmann::json{
    { "model", aOptions.model_ },
    { "prompt", "benchmark" },
    { "max_tokens", aOptions.tokens_ },
    { "stream", true }
  }.dump();
  RunStats stats;
  const auto calls = std::uint64_t(
    aOptions.rate_ * double(aOptions.duration_.count()) / aOptions.threads_);
  const Duration callInterval(
    std::int64_t(1e6 * aOptions.threads_ / aOptions.rate_));
  const MonotonicTime start = clock.Now();
  std::uint64_t ended = 0;
  for (std::uint64_t call = 0; call < calls; ++call) {
    const Duration offset =
      callInterval * std::int64_t(call) +
      callInterval * std::int64_t(aWorker) / aOptions.threads_;
    loop.CallAfter(offset, [&] {
      caller.Start(spec, [&](CallResult aResult) {
        ++ended;
        if (aResult.end_ != CallEnd::Completed ||
            aResult.tokens_ != aOptions.tokens_) {
          ++stats.notCompleted_;
          return;
        }
        ++stats.completed_;
        stats.tokens_ += aResult.tokens_;
        stats.firstByte_.Add(aResult.firstByte_);
        for (const Duration gap : aResult.tokenGaps_) {
          stats.tokenGaps_.Add(gap);
        }
        stats.totalTime_.Add(aResult.totalTime_);
      });
    });
  }
  loop.RunUntil([&] { return ended == calls; },
                aOptions.duration_ + std::chrono::seconds(60));
  stats.duration_ = clock.Now() - start;
  return stats;
}

RunStats
Measure(const BenchOptions& aOptions, const Address& aAddress)
{
  std::vector<RunStats> workers(aOptions.threads_);
  std::vector<std::thread> threads;
  for (unsigned worker = 0; worker < aOptions.threads_; ++worker) {
    threads.emplace_back(
      [&, worker] { workers[worker] = RunCalls(aOptions, aAddress, worker); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  RunStats all;
  for (const RunStats& worker : workers) {
    all.firstByte_.Add(worker.firstByte_);
    all.tokenGaps_.Add(worker.tokenGaps_);
    all.totalTime_.Add(worker.totalTime_);
    all.tokens_ += worker.tokens_;
    all.completed_ += worker.completed_;
    all.notCompleted_ += worker.notCompleted_;
    all.duration_ = std::max(all.duration_, worker.duration_);
  }
  return all;
}

constexpr double kPercentiles[] = { 50, 99 };

std::vector<Samples*>
Metrics(RunStats& aStats)
{
  return { &aStats.firstByte_, &aStats.tokenGaps_, &aStats.totalTime_ };
}

std::vector<std::string>
MakeRow(const char* aName, RunStats& aStats, std::chrono::seconds aDuration)
{
  // Calls start at a constant rate over aDuration, which excludes the time in
  // which the last answers complete.
  const double seconds = double(aDuration.count());
  std::vector<std::string> row{ aName,
                                FormatMilliseconds(aStats.completed_ / seconds),
                                FormatMilliseconds(double(aStats.tokens_) /
                                                   seconds) };
  for (Samples* metric : Metrics(aStats)) {
    for (const double percent : kPercentiles) {
      row.push_back(FormatMilliseconds(metric->Percentile(percent)));
    }
  }
  row.push_back(std::to_string(aStats.notCompleted_));
  return row;
}

std::vector<std::string>
MakeAddedLatencyRow(RunStats& aDirect, RunStats& aVia)
{
  std::vector<std::string> row{ "added", "", "" };
  const auto direct = Metrics(aDirect);
  const auto via = Metrics(aVia);
  for (std::size_t metric = 0; metric < via.size(); ++metric) {
    for (const double percent : kPercentiles) {
      row.push_back(FormatMilliseconds(via[metric]->Percentile(percent) -
                                       direct[metric]->Percentile(percent)));
    }
  }
  return row;
}

// Prints the added p99 latency of the first byte and of the complete answer;
// both must stay within kMaxAddedMilliseconds.
void
PrintAddedLatency(RunStats& aDirect, RunStats& aVia)
{
  const double first =
    aVia.firstByte_.Percentile(99) - aDirect.firstByte_.Percentile(99);
  const double total =
    aVia.totalTime_.Percentile(99) - aDirect.totalTime_.Percentile(99);
  std::cout << "\nadded p99: first byte " << FormatMilliseconds(first)
            << " ms, total " << FormatMilliseconds(total) << " ms; bound "
            << FormatMilliseconds(kMaxAddedMilliseconds) << " ms: "
            << (std::max(first, total) <= kMaxAddedMilliseconds ? "kept"
                                                                : "missed")
            << "\n";
}

} // namespace

int
RunSource(const BenchOptions& aOptions)
{
  const StreamSource source(
    aOptions.sourceListen_, aOptions.tokens_, aOptions.interval_);
  SystemClock clock;
  EventLoop loop(clock);
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.CallAfter(aOptions.duration_, [&] { loop.Stop(); });
  std::cout << nlohmann::json{ { "address", ToString(source.BoundAddress()) } }
            << std::endl;
  loop.Run();
  return 0;
}

int
RunBench(const BenchOptions& aOptions)
{
  std::unique_ptr<StreamSource> localSource;
  if (!aOptions.source_) {
    localSource = std::make_unique<StreamSource>(
      aOptions.sourceListen_, aOptions.tokens_, aOptions.interval_);
  }
  const Address source =
    localSource ? localSource->BoundAddress() : *aOptions.source_;
  std::cout << DescribeHost() << "settings: rate " << aOptions.rate_ << "/s, "
            << aOptions.tokens_ << " tokens every "
            << aOptions.interval_.count() << " us, " << aOptions.threads_
            << " caller threads, " << aOptions.duration_.count()
            << " s, source " << ToString(source) << "\n\n";
  std::vector<std::vector<std::string>> rows{ { "path",
                                                "requests/s",
                                                "tokens/s",
                                                "first p50 ms",
                                                "first p99 ms",
                                                "gap p50 ms",
                                                "gap p99 ms",
                                                "total p50 ms",
                                                "total p99 ms",
                                                "not completed" } };
  RunStats direct = Measure(aOptions, source);
  rows.push_back(MakeRow("direct", direct, aOptions.duration_));
  unsigned failures = direct.notCompleted_;
  std::optional<RunStats> via;
  if (aOptions.via_) {
    via = Measure(aOptions, *aOptions.via_);
    rows.push_back(MakeRow("via", *via, aOptions.duration_));
    rows.push_back(MakeAddedLatencyRow(direct, *via));
    failures += via->notCompleted_;
  }
  std::cout << FormatTable(rows);
  if (via) {
    PrintAddedLatency(direct, *via);
  }
  return failures == 0 ? 0 : 1;
}

} // namespace sycamoreward::load
