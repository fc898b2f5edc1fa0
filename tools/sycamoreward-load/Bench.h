#pragma once

// Measures what an entry instance adds to the latency of a direct connection.

#include "base/Address.h"
#include "base/Clock.h"

#include <optional>
#include <string>

namespace sycamoreward::load {

struct BenchOptions
{
  // A running source of streams; without it one is started in this process.
  std::optional<Address> source_;
  // Where the in-process source listens.
  Address sourceListen_{ "127.0.0.1", 0 };
  // An entry instance whose backend server is the source.
  std::optional<Address> via_;
  std::string model_ = "bench";
  std::string token_;
  double rate_ = 234;
  std::uint64_t tokens_ = 376;
  Duration interval_ = std::chrono::milliseconds(10);
  unsigned threads_ = 2;
  std::chrono::seconds duration_{ 10 };
};

// Bound of the design for the 99th percentile of what an instance adds.
constexpr double kMaxAddedMilliseconds = 1;

// Runs a source of streams until SIGTERM or the end of aOptions.duration_, and
// prints its address as one line of JSON. Returns the exit code.
int
RunSource(const BenchOptions& aOptions);

// Runs and prints the report. Returns the exit code.
int
RunBench(const BenchOptions& aOptions);

} // namespace sycamoreward::load
