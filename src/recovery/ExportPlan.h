#pragma once

// Which KV of a leaving engine's running streams is exported, and in which
// order.

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"

#include <vector>

namespace sycamoreward {

struct ExportCandidate
{
  RequestId request_;
  // Tokens whose KV would be computed again.
  Tokens tokens_;
  Bytes size_;
};

struct ExportInput
{
  Duration remaining_{ 0 };
  Bytes bytesPerSecond_;
  // Price of moving one byte over the link, and of computing one token again,
  // in the same unit.
  double pricePerByte_ = 0;
  double pricePerToken_ = 0;
  std::vector<ExportCandidate> candidates_;
};

struct ExportPlan
{
  // In the order of export.
  std::vector<RequestId> export_;
  std::vector<RequestId> recompute_;
};

// Takes the most tokens per byte first, as far as time allows. An export that
// costs more than the tokens that it saves is left out.
ExportPlan
PlanExport(const ExportInput& aInput);

} // namespace sycamoreward
