#pragma once

// Open-loop load of several request classes, most of it from a few large
// workspaces, with an optional check of the answers' texts.

#include "base/Address.h"
#include "base/Clock.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward::load {

struct MixOptions
{
  std::vector<Address> addresses_;
  // One token for each workspace; the first ones send the most requests.
  std::vector<std::string> tokens_;
  // Requests per second of each class; 0 disables a class.
  double reviewRate_ = 0;
  double queryRate_ = 0;
  double recordRate_ = 0;
  double lookupRate_ = 0;
  // Service names.
  std::string reviewService_ = "review";
  std::string queryService_ = "query";
  std::string plainService_ = "desk";
  std::string recordPath_ = "/records";
  std::string lookupPath_ = "/lookups";
  // Medians of the heavy-tailed answer lengths, and their maximum, in tokens.
  std::uint64_t reviewTokens_ = 400;
  std::uint64_t queryTokens_ = 24;
  std::uint64_t maxTokens_ = 4000;
  std::uint64_t seed_ = 1;
  std::chrono::seconds duration_{ 10 };
  bool printsJson_ = false;
  // Compares the answers of reviews and queries with the expected texts of the
  // engine stand-in.
  bool checksText_ = false;
};

// Runs the load and prints the report. Returns 1 when a call has not ended or,
// with checksText_, a completed answer differs from the expected text, for
// example because it is doubled or cut; 2 when checksText_ is set in a build
// without the engine stand-in; else 0.
int
RunMix(const MixOptions& aOptions);

} // namespace sycamoreward::load
