#pragma once

// Measures what an entry instance adds to the latency of a direct connection.

#include "base/Address.h"
#include "base/Clock.h"

#include <optional>
#include <string>

namespace sycamoreward::load {

struct BenchOptions
{
  // Where the in-process source listens and is called directly.
  Address direct_{ "127.0.0.1", 0 };
  // An entry instance whose backend server is the source.
  std::optional<Address> via_;
  std::string model_ = "bench";
  std::string token_;
  double rate_ = 234;
  std::uint64_t tokens_ = 376;
  Duration interval_ = std::chrono::milliseconds(10);
  unsigned threads_ = 2;
  std::chrono::seconds length_{ 10 };
};

// Runs and prints the report. Returns the exit code.
int
RunBench(const BenchOptions& aOptions);

} // namespace sycamoreward::load
