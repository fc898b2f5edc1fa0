#include "recovery/ExportPlan.h"

#include <algorithm>

namespace sycamoreward {

ExportPlan
PlanExport(const ExportInput& aInput)
{
  std::vector<ExportCandidate> order = aInput.candidates_;
  const auto value = [](const ExportCandidate& aCandidate) {
    return double(aCandidate.tokens_.Value()) /
           double(std::max<std::uint64_t>(aCandidate.size_.Value(), 1));
  };
  std::sort(
    order.begin(), order.end(), [&](const auto& aLeft, const auto& aRight) {
      const double left = value(aLeft);
      const double right = value(aRight);
      return left != right ? left > right : aLeft.request_ < aRight.request_;
    });
  double budget = double(aInput.remaining_.count()) / 1e6 *
                  double(aInput.bytesPerSecond_.Value());
  ExportPlan plan;
  for (const ExportCandidate& candidate : order) {
    const auto size = double(candidate.size_.Value());
    const bool savesCost =
      double(candidate.tokens_.Value()) * aInput.pricePerToken_ >=
      size * aInput.pricePerByte_;
    if (candidate.tokens_.Value() == 0 || !savesCost || size > budget) {
      plan.recompute_.push_back(candidate.request_);
      continue;
    }
    budget -= size;
    plan.export_.push_back(candidate.request_);
  }
  return plan;
}

} // namespace sycamoreward
