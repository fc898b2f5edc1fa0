#pragma once

// Measures the latency that an entry instance adds to a direct connection.

#include "base/Address.h"
#include "base/Clock.h"

#include <optional>
#include <string>

namespace sycamoreward::load {

struct BenchOptions
{
  // A running stream source; when empty, one is started in this process.
  std::optional<Address> source_;
  // Listen address of the source in this process.
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

// Maximum latency that an instance may add by design, at the 99th percentile.
constexpr double kMaxAddedMilliseconds = 1;

// Runs a stream source until SIGTERM or for aOptions.duration_, and prints its
// address as one line of JSON. Returns the exit code.
int
RunSource(const BenchOptions& aOptions);

// Runs the benchmark and prints the report. Returns 0 when all calls completed
// with the expected number of tokens, else 1.
int
RunBench(const BenchOptions& aOptions);

} // namespace sycamoreward::load
