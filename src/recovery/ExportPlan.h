#pragma once

// Selects the running streams of a leaving engine whose KV cache is exported,
// and their order.

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"

#include <vector>

namespace sycamoreward {

// A running stream whose KV cache can be exported.
struct ExportCandidate
{
  RequestId request_;
  // Tokens whose KV would have to be recomputed without the export.
  Tokens tokens_;
  Bytes size_;
};

// State from which the export is planned: the time until the reclaim, the rate
// of the link, the costs and the running streams.
struct ExportInput
{
  Duration remaining_{ 0 };
  Bytes bytesPerSecond_;
  // Cost of transferring one byte over the link, and of recomputing one token,
  // in the same unit.
  double pricePerByte_ = 0;
  double pricePerToken_ = 0;
  std::vector<ExportCandidate> candidates_;
};

struct ExportPlan
{
  // In export order.
  std::vector<RequestId> export_;
  std::vector<RequestId> recompute_;
};

// Exports the streams with the most tokens per byte first, as many as fit in
// the remaining time. Streams whose transfer costs more than recomputing their
// tokens are left out.
ExportPlan
PlanExport(const ExportInput& aInput);

} // namespace sycamoreward
