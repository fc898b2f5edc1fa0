#include "routing/ServerView.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

namespace {

// Weight of a new observation in the moving averages. Ten observations move an
// average 65% of the way to a new value.
constexpr double kSmoothingFactor = 0.1;
constexpr double kReportHalfLifeSeconds = 1.0;

void
UpdateAverage(double& aAverage, double aValue)
{
  aAverage =
    aAverage == 0 ? aValue : aAverage + kSmoothingFactor * (aValue - aAverage);
}

} // namespace

void
ApplyReport(ServerView& aView, const LoadReport& aReport, MonotonicTime aSent)
{
  if (aView.report_ && aSent < aView.reportSent_) {
    return;
  }
  aView.report_ = aReport;
  aView.reportSent_ = aSent;
  aView.inFlightAtReport_ = aView.inFlight_;
  if (!aReport.isAccepting_) {
    aView.acceptingAsOf_.reset();
    return;
  }
  // A refusal received after the poll was sent is newer than the report.
  if (!aView.leavingAsOf_ || *aView.leavingAsOf_ < aSent) {
    aView.acceptingAsOf_ = aSent;
  }
}

void
RecordRefusal(ServerView& aView, bool aIsLeaving, MonotonicTime aNow)
{
  if (aIsLeaving) {
    aView.leavingAsOf_ = aNow;
    aView.acceptingAsOf_.reset();
    return;
  }
  aView.fullUntil_ = aNow + kFullBackoff;
}

bool
IsAccepting(const ServerView& aView, MonotonicTime aNow)
{
  return aView.server_.state_ == ServerState::Live && aView.acceptingAsOf_ &&
         aNow - *aView.acceptingAsOf_ <= kMaxAcceptanceAge;
}

bool
IsEligible(const ServerView& aView, MonotonicTime aNow)
{
  return IsAccepting(aView, aNow) && aNow >= aView.fullUntil_;
}

double
ReportedPeerLoad(const ServerView& aView)
{
  if (!aView.report_) {
    return 0;
  }
  const double reported =
    double(aView.report_->running_) + double(aView.report_->waiting_);
  return std::max(0.0, reported - double(aView.inFlightAtReport_));
}

double
EstimatePeerLoad(const ServerView& aView, MonotonicTime aNow)
{
  if (!aView.report_) {
    return 0;
  }
  const Duration age = (aNow - aView.reportSent_) + aView.report_->age_;
  const double seconds = std::max(0.0, double(age.count()) / 1e6);
  return ReportedPeerLoad(aView) * std::exp2(-seconds / kReportHalfLifeSeconds);
}

double
EstimateLoad(const ServerView& aView, MonotonicTime aNow)
{
  return double(aView.inFlight_) + EstimatePeerLoad(aView, aNow);
}

void
RecordStart(ServerView& aView,
            Tokens aExpected,
            bool aIsLong,
            MonotonicTime aNow)
{
  ++aView.inFlight_;
  aView.longInFlight_ += aIsLong ? 1 : 0;
  aView.mayBorrowSlot_ = aView.mayBorrowSlot_ && !aIsLong;
  aView.tokensInFlight_ =
    Tokens(aView.tokensInFlight_.Value() + aExpected.Value());
  aView.lastProgress_ = aNow;
  aView.lastStart_ = aNow;
}

void
RecordFirstByte(ServerView& aView, Duration aSinceSent, MonotonicTime aNow)
{
  UpdateAverage(aView.firstByteMicroseconds_, double(aSinceSent.count()));
  aView.lastProgress_ = aNow;
}

void
RecordTokens(ServerView& aView,
             Tokens aCount,
             Duration aGap,
             MonotonicTime aNow)
{
  aView.lastProgress_ = aNow;
  if (aCount.Value() == 0) {
    return;
  }
  UpdateAverage(aView.tokenMicroseconds_,
                double(aGap.count()) / double(aCount.Value()));
}

void
RecordEnd(ServerView& aView, Tokens aExpected, bool aIsLong, MonotonicTime aNow)
{
  aView.inFlight_ -= aView.inFlight_ > 0 ? 1 : 0;
  aView.longInFlight_ -= aIsLong && aView.longInFlight_ > 0 ? 1 : 0;
  const std::uint64_t held = aView.tokensInFlight_.Value();
  aView.tokensInFlight_ =
    Tokens(held - std::min<std::uint64_t>(held, aExpected.Value()));
  aView.lastProgress_ = aNow;
}

} // namespace sycamoreward
