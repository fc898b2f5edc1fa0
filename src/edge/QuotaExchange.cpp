// The part of ReportExchange that shares quotas between instances.

#include "edge/MessageCount.h"
#include "edge/ReportExchange.h"
#include "runtime/EventLoop.h"

namespace sycamoreward::edge {

namespace {

// The caller of a request waits while the collector is asked, which usually
// answers within some milliseconds.
constexpr Duration kQuotaRequestTimeout = std::chrono::milliseconds(80);
// After a refusal no quota is requested for this time. Otherwise, with many
// instances at their limits, the collector would be asked for each request.
constexpr Duration kQuotaRequestBackoff = std::chrono::milliseconds(300);

} // namespace

void
ReportExchange::RecordUse(Peer& aPeer, const InstanceReport& aReport)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  // With many instances, use counts only from this report on if there was a gap
  // before it: the shares have limited the use in the meantime.
  const bool isContinuous = IsReporting(aPeer);
  const bool isSameStart =
    aPeer.reportedIncarnation_ == aReport.identity_.incarnation_;
  for (const auto& [workspace, level] : aReport.quotaLevels_) {
    RecordPeerLevel(state_.quotas_[WorkspaceId(workspace)],
                    aReport.identity_.instance_,
                    double(level),
                    now);
  }
  for (const auto& [workspace, used] : aReport.used_) {
    std::uint64_t before = 0;
    const auto last = aPeer.report_.used_.find(workspace);
    if (isSameStart && last != aPeer.report_.used_.end()) {
      before = last->second;
    }
    if (isContinuous && used > before) {
      aPeer.reportedUse_[workspace] += used - before;
    }
    if (IsMesh() || isCollector_) {
      RecordPeerUse(state_.quotas_[WorkspaceId(workspace)],
                    aReport.identity_.instance_,
                    double(used),
                    IsMesh() || isContinuous,
                    now);
    }
  }
}

void
ReportExchange::RequestQuota(const WorkspaceId& aWorkspace,
                             double aAmount,
                             std::function<void(bool aIsGranted)> aOnAnswer)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const auto next = nextQuotaRequest_.find(aWorkspace);
  if (next != nextQuotaRequest_.end() && now < next->second) {
    aOnAnswer(false);
    return;
  }
  if (isCollector_ && !IsIsolated()) {
    aOnAnswer(GrantQuota(state_.quotas_[aWorkspace], aAmount, now));
    return;
  }
  const auto found =
    collectors_.empty() ? peers_.end() : peers_.find(collectors_.front());
  if (found == peers_.end()) {
    aOnAnswer(false);
    return;
  }
  network_.Call(found->second.identity_,
                QuotaRequest{ aWorkspace, ToCount(aAmount) },
                kQuotaRequestTimeout,
                [this, aWorkspace, aOnAnswer = std::move(aOnAnswer)](
                  const PeerReply& aReply) {
                  const bool isGranted =
                    aReply.message_.has_value() &&
                    std::holds_alternative<QuotaReply>(*aReply.message_) &&
                    std::get<QuotaReply>(*aReply.message_).isGranted_;
                  if (!isGranted) {
                    nextQuotaRequest_[aWorkspace] =
                      state_.loop_.GetClock().Now() + kQuotaRequestBackoff;
                  }
                  aOnAnswer(isGranted);
                });
}

void
ReportExchange::OnQuotaRequest(const QuotaRequest& aRequest,
                               const PeerNetwork::Responder& aRespond)
{
  const auto found = state_.quotas_.find(aRequest.workspace_);
  // An instance that is not a collector does not receive enough reports to
  // grant quota.
  const bool isGranted =
    isCollector_ && !IsIsolated() && found != state_.quotas_.end() &&
    GrantQuota(
      found->second, double(aRequest.amount_), state_.loop_.GetClock().Now());
  aRespond(QuotaReply{ isGranted });
}

} // namespace sycamoreward::edge
