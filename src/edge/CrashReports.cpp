#include "edge/CrashReports.h"

#include "base/DurationUnits.h"
#include "edge/MessageCount.h"
#include "routing/Rendezvous.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Time for which a crash or an answer is reported. Each instance reports
// several times in it, also to collectors.
constexpr Duration kReportTime = std::chrono::seconds(4);
// Bound of times in messages.
constexpr std::uint64_t kMaxAgeMs = 24 * 60 * 60 * 1000;

MonotonicTime
TimeBefore(MonotonicTime aNow, std::uint64_t aAgeMs)
{
  return aNow - std::chrono::milliseconds(std::min(aAgeMs, kMaxAgeMs));
}

std::uint64_t
AgeMs(MonotonicTime aNow, MonotonicTime aTime)
{
  return ToCount(Milliseconds(aNow - aTime));
}

} // namespace

void
AddCrashes(const EdgeState& aState,
           std::vector<ServerCrash>& aCrashes,
           std::vector<FingerprintStatus>& aFingerprints)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  const CrashRecord& record = aState.crashes_.record_;
  for (const Crash& crash : record.crashes_) {
    if (now - crash.learnedAt_ > kReportTime) {
      continue;
    }
    ServerCrash report;
    report.server_ = crash.server_;
    report.incarnation_ = crash.incarnation_;
    report.ageMs_ = AgeMs(now, crash.at_);
    for (const auto& [fingerprint, sent] : crash.sent_) {
      report.fingerprints_.push_back(fingerprint.Value());
      report.sentAgesMs_.push_back(AgeMs(now, sent));
    }
    aCrashes.push_back(std::move(report));
  }
  for (const auto& [fingerprint, time] : record.answered_) {
    if (now - time <= kReportTime) {
      FingerprintStatus status;
      status.fingerprint_ = fingerprint.Value();
      status.isAnswered_ = true;
      status.answerAgeMs_ = AgeMs(now, time);
      aFingerprints.push_back(status);
    }
  }
  for (const auto& [fingerprint, block] : record.blocks_) {
    FingerprintStatus status;
    status.fingerprint_ = fingerprint.Value();
    status.blockedMs_ = AgeMs(block.until_, now);
    status.blockLengthMs_ = ToCount(Milliseconds(block.length_));
    if (status.blockedMs_ > 0) {
      aFingerprints.push_back(status);
    }
  }
}

void
ApplyCrashes(EdgeState& aState,
             const std::vector<ServerCrash>& aCrashes,
             const std::vector<FingerprintStatus>& aFingerprints)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  CrashRecord& record = aState.crashes_.record_;
  for (const ServerCrash& report : aCrashes) {
    Crash crash;
    crash.server_ = report.server_;
    crash.incarnation_ = report.incarnation_;
    crash.at_ = TimeBefore(now, report.ageMs_);
    const std::size_t count =
      std::min(report.fingerprints_.size(), report.sentAgesMs_.size());
    for (std::size_t index = 0; index < count; ++index) {
      crash.sent_[Fingerprint(report.fingerprints_[index])] =
        TimeBefore(now, report.sentAgesMs_[index]);
    }
    aState.crashes_.AddReported(crash);
  }
  for (const FingerprintStatus& status : aFingerprints) {
    const Fingerprint fingerprint(status.fingerprint_);
    if (status.isAnswered_) {
      AddAnswer(record, fingerprint, TimeBefore(now, status.answerAgeMs_));
    }
    if (status.blockedMs_ > 0) {
      Block block;
      block.until_ =
        now + std::chrono::milliseconds(std::min(status.blockedMs_, kMaxAgeMs));
      block.length_ =
        std::chrono::milliseconds(std::min(status.blockLengthMs_, kMaxAgeMs));
      AddBlock(record, fingerprint, block);
    }
  }
}

void
UpdateBlocked(EdgeState& aState)
{
  CrashRecord& record = aState.crashes_.record_;
  const MonotonicTime now = aState.loop_.GetClock().Now();
  for (const Fingerprint& fingerprint : UpdateBlocks(record, now)) {
    std::string servers;
    for (const Crash& crash : record.crashes_) {
      if (crash.sent_.count(fingerprint) != 0) {
        servers += (servers.empty() ? "" : ",") + crash.server_.Value();
      }
    }
    LogLine line("fingerprint_blocked");
    line.Add("fingerprint", ToText({ fingerprint }))
      .Add("seconds", Seconds(record.blocks_[fingerprint].length_))
      .Add("crashed", servers);
    aState.log_.WriteImportant(line);
    if (aState.onBlocked_) {
      aState.onBlocked_(fingerprint);
    }
  }
}

bool
MayTry(const EdgeState& aState, Fingerprint aFingerprint)
{
  const std::uint64_t own =
    RendezvousScore(aState.self_.Value(), aFingerprint.Value());
  return std::all_of(aState.limitSharers_.begin(),
                     aState.limitSharers_.end(),
                     [&](const InstanceId& aOther) {
                       return RendezvousScore(aOther.Value(),
                                              aFingerprint.Value()) <= own;
                     });
}

} // namespace sycamoreward::edge
