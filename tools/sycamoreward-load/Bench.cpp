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

struct Figures
{
  Samples firstByte_;
  Samples gaps_;
  Samples whole_;
  std::uint64_t tokens_ = 0;
  unsigned completed_ = 0;
  unsigned other_ = 0;
  Duration length_{ 0 };
};

// Starts calls at an even pace on a loop of its own.
Figures
RunCalls(const BenchOptions& aOptions, const Address& aAddress, unsigned aPart)
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
  Figures figures;
  const auto calls = std::uint64_t(
    aOptions.rate_ * double(aOptions.length_.count()) / aOptions.threads_);
  const Duration pace(std::int64_t(1e6 * aOptions.threads_ / aOptions.rate_));
  const MonotonicTime start = clock.Now();
  std::uint64_t ended = 0;
  for (std::uint64_t call = 0; call < calls; ++call) {
    const Duration offset = pace * std::int64_t(call) +
                            pace * std::int64_t(aPart) / aOptions.threads_;
    loop.CallAfter(offset, [&] {
      caller.Start(spec, [&](CallResult aResult) {
        ++ended;
        if (aResult.end_ != CallEnd::Completed ||
            aResult.tokens_ != aOptions.tokens_) {
          ++figures.other_;
          return;
        }
        ++figures.completed_;
        figures.tokens_ += aResult.tokens_;
        figures.firstByte_.Add(aResult.firstByte_);
        for (const Duration gap : aResult.gaps_) {
          figures.gaps_.Add(gap);
        }
        figures.whole_.Add(aResult.whole_);
      });
    });
  }
  loop.RunUntil([&] { return ended == calls; },
                aOptions.length_ + std::chrono::seconds(60));
  figures.length_ = clock.Now() - start;
  return figures;
}

Figures
Measure(const BenchOptions& aOptions, const Address& aAddress)
{
  std::vector<Figures> parts(aOptions.threads_);
  std::vector<std::thread> threads;
  for (unsigned part = 0; part < aOptions.threads_; ++part) {
    threads.emplace_back(
      [&, part] { parts[part] = RunCalls(aOptions, aAddress, part); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  Figures all;
  for (const Figures& part : parts) {
    all.firstByte_.Add(part.firstByte_);
    all.gaps_.Add(part.gaps_);
    all.whole_.Add(part.whole_);
    all.tokens_ += part.tokens_;
    all.completed_ += part.completed_;
    all.other_ += part.other_;
    all.length_ = std::max(all.length_, part.length_);
  }
  return all;
}

constexpr double kPercents[] = { 50, 99 };

std::vector<Samples*>
Kinds(Figures& aFigures)
{
  return { &aFigures.firstByte_, &aFigures.gaps_, &aFigures.whole_ };
}

std::vector<std::string>
Row(const char* aName, Figures& aFigures, std::chrono::seconds aLength)
{
  // Calls start evenly over aLength; the answers of the last ones follow.
  const double seconds = double(aLength.count());
  std::vector<std::string> row{
    aName,
    FormatMilliseconds(aFigures.completed_ / seconds),
    FormatMilliseconds(double(aFigures.tokens_) / seconds)
  };
  for (Samples* kind : Kinds(aFigures)) {
    for (const double percent : kPercents) {
      row.push_back(FormatMilliseconds(kind->Percentile(percent)));
    }
  }
  row.push_back(std::to_string(aFigures.other_));
  return row;
}

std::vector<std::string>
AddedRow(Figures& aDirect, Figures& aVia)
{
  std::vector<std::string> row{ "added", "", "" };
  const auto direct = Kinds(aDirect);
  const auto via = Kinds(aVia);
  for (std::size_t kind = 0; kind < via.size(); ++kind) {
    for (const double percent : kPercents) {
      row.push_back(FormatMilliseconds(via[kind]->Percentile(percent) -
                                       direct[kind]->Percentile(percent)));
    }
  }
  return row;
}

// The bound holds for the first byte and for the whole answer.
void
PrintBound(Figures& aDirect, Figures& aVia)
{
  const double first =
    aVia.firstByte_.Percentile(99) - aDirect.firstByte_.Percentile(99);
  const double whole =
    aVia.whole_.Percentile(99) - aDirect.whole_.Percentile(99);
  std::cout << "\nadded p99: first byte " << FormatMilliseconds(first)
            << " ms, whole " << FormatMilliseconds(whole) << " ms; bound "
            << FormatMilliseconds(kMaxAddedMilliseconds) << " ms: "
            << (std::max(first, whole) <= kMaxAddedMilliseconds ? "kept"
                                                                : "missed")
            << "\n";
}

} // namespace

int
RunSource(const BenchOptions& aOptions)
{
  const StreamSource source(
    aOptions.direct_, aOptions.tokens_, aOptions.interval_);
  SystemClock clock;
  EventLoop loop(clock);
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.CallAfter(aOptions.length_, [&] { loop.Stop(); });
  std::cout << nlohmann::json{ { "address", ToString(source.BoundAddress()) } }
            << std::endl;
  loop.Run();
  return 0;
}

int
RunBench(const BenchOptions& aOptions)
{
  std::unique_ptr<StreamSource> own;
  if (!aOptions.source_) {
    own = std::make_unique<StreamSource>(
      aOptions.direct_, aOptions.tokens_, aOptions.interval_);
  }
  const Address source = own ? own->BoundAddress() : *aOptions.source_;
  std::cout << DescribeMachine() << "settings: rate " << aOptions.rate_
            << "/s, " << aOptions.tokens_ << " tokens every "
            << aOptions.interval_.count() << " us, " << aOptions.threads_
            << " caller threads, " << aOptions.length_.count() << " s, source "
            << ToString(source) << "\n\n";
  std::vector<std::vector<std::string>> rows{ { "path",
                                                "requests/s",
                                                "tokens/s",
                                                "first p50 ms",
                                                "first p99 ms",
                                                "gap p50 ms",
                                                "gap p99 ms",
                                                "whole p50 ms",
                                                "whole p99 ms",
                                                "not whole" } };
  Figures direct = Measure(aOptions, source);
  rows.push_back(Row("direct", direct, aOptions.length_));
  unsigned bad = direct.other_;
  std::optional<Figures> via;
  if (aOptions.via_) {
    via = Measure(aOptions, *aOptions.via_);
    rows.push_back(Row("via", *via, aOptions.length_));
    rows.push_back(AddedRow(direct, *via));
    bad += via->other_;
  }
  std::cout << FormatTable(rows);
  if (via) {
    PrintBound(direct, *via);
  }
  return bad == 0 ? 0 : 1;
}

} // namespace sycamoreward::load
