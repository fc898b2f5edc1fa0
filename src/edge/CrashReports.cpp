#include "edge/CrashReports.h"

#include "base/DurationUnits.h"
#include "edge/MessageCount.h"
#include "routing/Rendezvous.h"
#include "runtime/EventLoop.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sycamoreward::edge {

namespace {

// Time for which a crash or an answer stays in digests. Each instance gets
// several digests in it.
constexpr Duration kDigestTime = std::chrono::seconds(4);
// Number of doublings after which all instances of any deployment may test.
constexpr std::int64_t kMaxDoublings = 32;
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

// Makes the report of a crash with those of its fingerprints that aIsTold
// selects.
template<typename F>
ServerCrash
MakeReport(const Crash& aCrash, const F& aIsTold, MonotonicTime aNow)
{
  ServerCrash report;
  report.server_ = aCrash.server_;
  report.incarnation_ = aCrash.incarnation_;
  report.ageMs_ = AgeMs(aNow, aCrash.at_);
  for (const auto& [fingerprint, sent] : aCrash.sent_) {
    if (aIsTold(fingerprint)) {
      report.fingerprints_.push_back(fingerprint.Value());
      report.sentAgesMs_.push_back(AgeMs(aNow, sent));
    }
  }
  return report;
}

FingerprintStatus
AnswerStatus(Fingerprint aFingerprint, MonotonicTime aTime, MonotonicTime aNow)
{
  FingerprintStatus status;
  status.fingerprint_ = aFingerprint.Value();
  status.isAnswered_ = true;
  status.answerAgeMs_ = AgeMs(aNow, aTime);
  return status;
}

void
AddBlocks(const CrashRecord& aRecord,
          MonotonicTime aNow,
          std::vector<FingerprintStatus>& aFingerprints)
{
  for (const auto& [fingerprint, block] : aRecord.blocks_) {
    FingerprintStatus status;
    status.fingerprint_ = fingerprint.Value();
    status.blockedMs_ = AgeMs(block.until_, aNow);
    status.blockLengthMs_ = ToCount(Milliseconds(block.length_));
    status.blockCrashAgeMs_ = AgeMs(aNow, block.lastCrash_);
    if (status.blockedMs_ > 0) {
      aFingerprints.push_back(status);
    }
  }
}

} // namespace

void
AddSeenCrashes(const EdgeState& aState,
               MonotonicTime aSince,
               std::vector<ServerCrash>& aCrashes,
               std::vector<FingerprintStatus>& aFingerprints)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  const CrashRecord& record = aState.crashes_.record_;
  for (const Crash& crash : record.crashes_) {
    if (crash.seenAt_ >= aSince) {
      aCrashes.push_back(MakeReport(
        crash, [](Fingerprint) { return true; }, now));
    }
  }
  for (const auto& [fingerprint, answer] : record.answered_) {
    if (!answer.isReported_ && answer.learnedAt_ >= aSince) {
      aFingerprints.push_back(AnswerStatus(fingerprint, answer.at_, now));
    }
  }
  AddBlocks(record, now, aFingerprints);
}

void
AddRecurrentCrashes(const EdgeState& aState,
                    std::vector<ServerCrash>& aCrashes,
                    std::vector<FingerprintStatus>& aFingerprints)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  const CrashRecord& record = aState.crashes_.record_;
  std::set<Fingerprint> recurrent;
  std::set<const Crash*> told;
  for (const Crash& crash : record.crashes_) {
    if (now - crash.learnedAt_ > kDigestTime) {
      continue;
    }
    for (const auto& [fingerprint, sent] : crash.sent_) {
      if (IsRecurrent(record, fingerprint) &&
          recurrent.insert(fingerprint).second) {
        const auto latest = LatestCrashes(record, fingerprint);
        told.insert(latest.begin(), latest.end());
      }
    }
  }
  // Each crash is told with all of these fingerprints, since one of them can
  // explain the crashes with another.
  const auto isRecurrent = [&recurrent](Fingerprint aFingerprint) {
    return recurrent.count(aFingerprint) != 0;
  };
  for (const Crash& crash : record.crashes_) {
    if (told.count(&crash) != 0) {
      aCrashes.push_back(MakeReport(crash, isRecurrent, now));
    }
  }
  for (const auto& [fingerprint, answer] : record.answered_) {
    if (now - answer.learnedAt_ <= kDigestTime &&
        MayBeKnown(record, fingerprint)) {
      aFingerprints.push_back(AnswerStatus(fingerprint, answer.at_, now));
    }
  }
  AddBlocks(record, now, aFingerprints);
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
    crash.isReported_ = true;
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
      AddAnswer(record,
                fingerprint,
                LastAnswer{ TimeBefore(now, status.answerAgeMs_), now, true });
    }
    if (status.blockedMs_ > 0) {
      Block block;
      block.until_ =
        now + std::chrono::milliseconds(std::min(status.blockedMs_, kMaxAgeMs));
      block.length_ =
        std::chrono::milliseconds(std::min(status.blockLengthMs_, kMaxAgeMs));
      block.lastCrash_ = status.blockCrashAgeMs_ > 0
                           ? TimeBefore(now, status.blockCrashAgeMs_)
                           : block.until_ - block.length_;
      const auto answer = record.answered_.find(fingerprint);
      if (answer != record.answered_.end() &&
          IsLifted(record, fingerprint, block)) {
        // The sender does not know of the answer, so it is told again.
        answer->second.learnedAt_ = now;
      }
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

bool
MayTest(const EdgeState& aState,
        Fingerprint aFingerprint,
        Duration aTime,
        std::size_t aBlocked)
{
  const std::int64_t doublings =
    aTime / aState.crashes_.record_.settleTime_ - std::int64_t(aBlocked);
  if (doublings < 0) {
    return false;
  }
  const std::uint64_t score =
    RendezvousScore(aState.self_.Value(), aFingerprint.Value());
  const double rank = std::ldexp(double(score), -64);
  const auto instances = double(aState.limitSharers_.size() + 1);
  return MayTry(aState, aFingerprint) ||
         rank * instances <
           std::exp2(double(std::min(doublings, kMaxDoublings)));
}

std::optional<Duration>
BlockedFor(const EdgeState& aState,
           const std::vector<Fingerprint>& aFingerprints)
{
  TryRules rules;
  rules.mayTry_ = [&aState](Fingerprint aFingerprint) {
    return MayTry(aState, aFingerprint);
  };
  rules.mayTest_ =
    [&aState](Fingerprint aFingerprint, Duration aTime, std::size_t aBlocked) {
      return MayTest(aState, aFingerprint, aTime, aBlocked);
    };
  return BlockedFor(aState.crashes_.record_,
                    aFingerprints,
                    rules,
                    aState.loop_.GetClock().Now());
}

} // namespace sycamoreward::edge
