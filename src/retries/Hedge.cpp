#include "retries/Hedge.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

namespace {

constexpr double kFirstBucketMicroseconds = 100;
constexpr double kBucketsPerOctave = 4;
constexpr double kMinObservations = 20;
// When the total reaches this value, all counts are halved, so that the
// quantile follows a change within some hundred requests.
constexpr double kMaxTotal = 1000;
constexpr double kHedgeQuantile = 0.95;

std::size_t
BucketOf(Duration aTime)
{
  const double ratio = double(aTime.count()) / kFirstBucketMicroseconds;
  if (ratio <= 1) {
    return 0;
  }
  const auto bucket =
    std::size_t(std::ceil(std::log2(ratio) * kBucketsPerOctave));
  return std::min(bucket, FirstByteTimes::kBuckets - 1);
}

} // namespace

void
ObserveFirstByte(FirstByteTimes& aTimes, Duration aTime)
{
  aTimes.counts_[BucketOf(aTime)] += 1;
  aTimes.total_ += 1;
  if (aTimes.total_ >= kMaxTotal) {
    for (double& count : aTimes.counts_) {
      count /= 2;
    }
    aTimes.total_ /= 2;
  }
}

std::optional<Duration>
QuantileOf(const FirstByteTimes& aTimes, double aQuantile)
{
  if (aTimes.total_ < kMinObservations) {
    return std::nullopt;
  }
  double seen = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < FirstByteTimes::kBuckets) {
    seen += aTimes.counts_[bucket];
    if (seen >= aQuantile * aTimes.total_) {
      break;
    }
    ++bucket;
  }
  return Duration(std::int64_t(kFirstBucketMicroseconds *
                               std::exp2(double(bucket) / kBucketsPerOctave)));
}

std::optional<Duration>
DecideHedgeDelay(const FirstByteTimes& aTimes,
                 Duration aTarget,
                 Duration aDeadline)
{
  const Duration delay = QuantileOf(aTimes, kHedgeQuantile).value_or(aTarget);
  if (delay >= aDeadline) {
    return std::nullopt;
  }
  return delay;
}

} // namespace sycamoreward
