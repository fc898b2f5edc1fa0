#include "support/RevisionMonitor.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr std::chrono::milliseconds kTimeout{ 500 };

HttpClientRequest
MakeRequest(const Address& aAddress, const std::string& aTarget)
{
  HttpClientRequest request;
  request.address_ = aAddress;
  request.target_ = aTarget;
  request.headers_ = { { "Authorization",
                         std::string("Bearer ") + kOperatorToken } };
  request.silenceTimeout_ = kTimeout;
  request.mayReuseConnection_ = false;
  return request;
}

} // namespace

RevisionMonitor::RevisionMonitor(Deployment& aDeployment)
  : deployment_(aDeployment)
  , entries_(aDeployment.Entries())
{
  for (unsigned entry = 0; entry < entries_.size(); ++entry) {
    PollReadiness(entry, 0);
  }
}

std::uint64_t
RevisionMonitor::Revision(unsigned aEntry) const
{
  return entries_.at(aEntry).revision_;
}

bool
RevisionMonitor::IsReady(unsigned aEntry) const
{
  return entries_.at(aEntry).isReady_;
}

void
RevisionMonitor::OnStopped(unsigned aEntry)
{
  ++entries_.at(aEntry).run_;
}

void
RevisionMonitor::OnRestarted(unsigned aEntry)
{
  std::uint64_t known = 0;
  for (const Entry& entry : entries_) {
    known = std::max(known, entry.revision_);
  }
  Entry& entry = entries_.at(aEntry);
  entry = { 0, known, false, entry.run_ + 1 };
  PollReadiness(aEntry, entry.run_);
}

// Polls readiness before the revision, so a ready instance must already have
// the revision.
void
RevisionMonitor::PollReadiness(unsigned aEntry, unsigned aRun)
{
  deployment_.Client().Fetch(
    MakeRequest(deployment_.OperatorAddress(aEntry), "/readyz"),
    [this, aEntry, aRun, weak = std::weak_ptr<bool>(alive_)](
      const HttpClientReply& aReply) {
      if (!weak.expired() && aRun == entries_[aEntry].run_) {
        PollRevision(aEntry, aRun, aReply.status_ == 200);
      }
    });
}

void
RevisionMonitor::PollRevision(unsigned aEntry, unsigned aRun, bool aIsReady)
{
  deployment_.Client().Fetch(
    MakeRequest(deployment_.OperatorAddress(aEntry), "/apis/v1/Service"),
    [this, aEntry, aRun, aIsReady, weak = std::weak_ptr<bool>(alive_)](
      const HttpClientReply& aReply) {
      if (weak.expired() || aRun != entries_[aEntry].run_) {
        return;
      }
      if (aReply.end_ == HttpEnd::Complete && aReply.status_ == 200) {
        const auto list = nlohmann::json::parse(aReply.body_);
        const std::string revision = list["metadata"]["resourceVersion"];
        CheckRevision(aEntry, std::stoull(revision), aIsReady);
      }
      ScheduleNextPoll(aEntry, aRun);
    });
}

void
RevisionMonitor::ScheduleNextPoll(unsigned aEntry, unsigned aRun)
{
  deployment_.Loop().CallAfter(
    kPollInterval, [this, aEntry, aRun, weak = std::weak_ptr<bool>(alive_)] {
      if (!weak.expired() && aRun == entries_[aEntry].run_) {
        PollReadiness(aEntry, aRun);
      }
    });
}

void
RevisionMonitor::CheckRevision(unsigned aEntry,
                               std::uint64_t aRevision,
                               bool aIsReady)
{
  Entry& entry = entries_[aEntry];
  if (aRevision < entry.revision_) {
    violations_ += Deployment::EntryId(aEntry) + " moved back from revision " +
                   std::to_string(entry.revision_) + " to " +
                   std::to_string(aRevision) + ". ";
  }
  if (aIsReady && aRevision < entry.minReadyRevision_) {
    violations_ += Deployment::EntryId(aEntry) + " was ready with revision " +
                   std::to_string(aRevision) + ", when " +
                   std::to_string(entry.minReadyRevision_) + " was known. ";
  }
  entry.revision_ = aRevision;
  entry.isReady_ = entry.isReady_ || aIsReady;
}

} // namespace sycamoreward
