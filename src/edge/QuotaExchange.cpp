// The part of ReportExchange that shares quotas between instances.

#include "edge/MessageCount.h"
#include "edge/ReportExchange.h"
#include "runtime/EventLoop.h"

#include <algorithm>
#include <limits>

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
  for (const auto& [workspace, used] : aReport.used_) {
    Quota& quota = state_.quotas_[WorkspaceId(workspace)];
    if (IsMesh() && !aReport.isLoadOnly_) {
      const auto level = aReport.quotaLevels_.find(workspace);
      RecordPeerLevel(quota,
                      aReport.identity_.instance_,
                      level == aReport.quotaLevels_.end()
                        ? std::numeric_limits<double>::infinity()
                        : double(level->second),
                      now);
    }
    if (!isSameStart) {
      RestartPeerUse(quota, aReport.identity_.instance_);
    }
    std::uint64_t before = 0;
    const auto last = aPeer.report_.used_.find(workspace);
    if (isSameStart && last != aPeer.report_.used_.end()) {
      before = last->second;
    }
    if (isContinuous && !aReport.isLoadOnly_ && used > before) {
      aPeer.reportedUse_[workspace] += used - before;
    }
    if (IsMesh() || isCollector_) {
      RecordPeerUse(quota,
                    aReport.identity_.instance_,
                    double(used),
                    IsMesh() || isContinuous,
                    now);
    }
  }
}

void
ReportExchange::AddUse(InstanceReport& aReport) const
{
  if (!aReport.isLoadOnly_) {
    return;
  }
  for (const auto& [workspace, quota] : state_.quotas_) {
    if (quota.needsConfirmation_ && quota.used_ > quota.confirmedUse_) {
      aReport.used_[workspace.Value()] = ToCount(quota.used_);
    }
  }
}

void
ReportExchange::RecordHeard(const PeerIdentity& aSender,
                            const Reports& aMessage)
{
  const auto found = peers_.find(aSender.instance_);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  if (aMessage.wantsHeard_) {
    Reports answer;
    answer.heardIncarnation_ = peer.reportedIncarnation_;
    answer.heardSequence_ = peer.report_.sequence_;
    network_.Send(peer.identity_, std::move(answer));
  }
  if (aMessage.heardIncarnation_ == self_.incarnation_) {
    peer.heardSequence_ = aMessage.heardSequence_;
    ConfirmUseOfHeardReports();
  }
}

void
ReportExchange::ConfirmUseOfHeardReports()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  bool hasLive = false;
  std::uint64_t heard = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer)) {
      hasLive = true;
      heard = std::min(heard, peer.heardSequence_);
    }
  }
  if (!hasLive) {
    // The share alone limits an instance without contact.
    for (auto& [workspace, quota] : state_.quotas_) {
      ConfirmUse(quota, quota.used_, now);
    }
    AnswerWaiters();
    return;
  }
  while (!unconfirmed_.empty() && unconfirmed_.front().sequence_ <= heard) {
    for (const auto& [workspace, used] : unconfirmed_.front().used_) {
      ConfirmUse(state_.quotas_[WorkspaceId(workspace)], double(used), now);
    }
    unconfirmed_.pop_front();
  }
  AnswerWaiters();
}

void
ReportExchange::AwaitConfirmation(Waiter aWaiter)
{
  waiters_.push_back(std::move(aWaiter));
  ConfirmUseOfHeardReports();
  if (waiters_.empty()) {
    return;
  }
  ReportSoon();
  if (waiterTimer_ == 0) {
    waiterTimer_ = state_.loop_.CallAfter(kQuotaRequestTimeout, [this] {
      waiterTimer_ = 0;
      AnswerWaiters();
    });
  }
}

void
ReportExchange::AnswerWaiters()
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  // An answer may add waiters.
  std::list<Waiter> waiters = std::move(waiters_);
  waiters_.clear();
  for (auto waiter = waiters.begin(); waiter != waiters.end();) {
    const bool isGranted =
      CanConsume(state_.quotas_[waiter->workspace_], waiter->amount_, now);
    if (isGranted || now >= waiter->until_) {
      waiter->onAnswer_(isGranted);
      waiter = waiters.erase(waiter);
    } else {
      ++waiter;
    }
  }
  waiters_.splice(waiters_.begin(), waiters);
  if (!waiters_.empty() && waiterTimer_ == 0) {
    waiterTimer_ =
      state_.loop_.CallAfter(waiters_.front().until_ - now, [this] {
        waiterTimer_ = 0;
        AnswerWaiters();
      });
  }
}

void
ReportExchange::RequestQuota(const WorkspaceId& aWorkspace,
                             double aAmount,
                             std::function<void(bool aIsGranted)> aOnAnswer)
{
  const MonotonicTime now = state_.loop_.GetClock().Now();
  if (IsMesh()) {
    AwaitConfirmation({ aWorkspace,
                        aAmount,
                        std::move(aOnAnswer),
                        now + kQuotaRequestTimeout });
    return;
  }
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
