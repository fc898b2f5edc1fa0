#pragma once

// Open-loop load of several classes from a few large workspaces, and the check
// of each answer's text.

#include "base/Address.h"
#include "base/Clock.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward::load {

struct MixOptions
{
  std::vector<Address> addresses_;
  // One token for each workspace; the first ones get the most requests.
  std::vector<std::string> tokens_;
  // Requests a second by class; 0 leaves a class out.
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
  // Medians of the heavy-tailed answer lengths, and their bound, in tokens.
  std::uint64_t reviewTokens_ = 400;
  std::uint64_t queryTokens_ = 24;
  std::uint64_t maxTokens_ = 4000;
  std::uint64_t seed_ = 1;
  std::chrono::seconds duration_{ 10 };
  bool printsJson_ = false;
  // Compares each answer with the text that the engine stand-in gives.
  bool checksText_ = false;
};

// Runs and prints the report. With checksText_ the exit code is 1 when an
// answer is missing, doubled, cut or wrong.
int
RunMix(const MixOptions& aOptions);

} // namespace sycamoreward::load
