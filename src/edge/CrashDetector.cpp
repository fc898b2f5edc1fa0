#include "edge/CrashDetector.h"

#include "http/Channel.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// All connections to a crashed server end within some milliseconds, or later if
// this instance is busy. A server with open connections after that has not
// crashed, and is not probed, since each connection costs it work.
constexpr Duration kUseCheckInterval = std::chrono::milliseconds(20);
constexpr int kUseChecks = 10;
// Time for which answers are remembered, and bound of them. Crashes with the
// same fingerprint are reported together when it comes again, and an answer
// since the first clears it.
constexpr Duration kAnswerMemory = std::chrono::seconds(60);
constexpr std::size_t kMaxAnswers = 4096;
// A server that has crashed refuses connections at once. One that does not
// answer in this time may be partitioned from this instance.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(200);

} // namespace

CrashDetector::CrashDetector(EventLoop& aLoop,
                             const ChannelPool& aChannels,
                             DecisionLog& aLog)
  : loop_(aLoop)
  , channels_(aChannels)
  , log_(aLog)
{
}

CrashDetector::~CrashDetector()
{
  for (const auto& [server, probe] : probes_) {
    loop_.CancelTimer(probe->timer_);
    if (probe->channel_ != nullptr) {
      probe->channel_->Reset();
    }
  }
}

void
CrashDetector::AddRun(const BackendServer& aServer,
                      std::uint64_t aRun,
                      const std::vector<Fingerprint>& aFingerprints)
{
  RecordTry(record_, aFingerprints, loop_.GetClock().Now());
  runs_[aRun] = { aServer.id_,
                  aServer.incarnation_,
                  aServer.address_,
                  aFingerprints,
                  loop_.GetClock().Now() };
}

void
CrashDetector::RemoveRun(std::uint64_t aRun, bool aIsLost)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  const Run run = std::move(found->second);
  runs_.erase(found);
  if (aIsLost && !run.fingerprints_.empty()) {
    RecordLost(run);
  }
}

void
CrashDetector::RecordAnswer(const std::vector<Fingerprint>& aFingerprints)
{
  const MonotonicTime now = loop_.GetClock().Now();
  bool isNews = false;
  for (const Fingerprint& fingerprint : aFingerprints) {
    lastAnswers_[fingerprint] = now;
    answers_.emplace_back(now, fingerprint);
    isNews |= AddAnswer(record_, fingerprint, now);
  }
  TrimAnswers();
  if (isNews && onNews_) {
    onNews_();
  }
}

void
CrashDetector::TrimAnswers()
{
  const MonotonicTime now = loop_.GetClock().Now();
  while (answers_.size() > kMaxAnswers ||
         (!answers_.empty() && now - answers_.front().first > kAnswerMemory)) {
    const auto& [time, fingerprint] = answers_.front();
    const auto last = lastAnswers_.find(fingerprint);
    if (last != lastAnswers_.end() && last->second == time) {
      lastAnswers_.erase(last);
    }
    answers_.pop_front();
  }
}

void
CrashDetector::AddReported(const Crash& aCrash)
{
  if (!AddCrash(record_, aCrash, loop_.GetClock().Now())) {
    return;
  }
  bool isNews = false;
  for (const auto& [fingerprint, sent] : aCrash.sent_) {
    const auto answer = lastAnswers_.find(fingerprint);
    isNews |=
      answer != lastAnswers_.end() && answer->second > aCrash.at_ &&
      AddAnswer(record_,
                fingerprint,
                LastAnswer{ answer->second, loop_.GetClock().Now(), false });
  }
  if (isNews && onNews_) {
    onNews_();
  }
}

void
CrashDetector::RecordLost(const Run& aRun)
{
  const MonotonicTime now = loop_.GetClock().Now();
  Crash crash;
  crash.server_ = aRun.server_;
  crash.incarnation_ = aRun.incarnation_;
  crash.at_ = now;
  for (const Fingerprint& fingerprint : aRun.fingerprints_) {
    crash.sent_[fingerprint] = aRun.sent_;
  }
  if (FindCrash(record_, crash.server_, crash.incarnation_) != nullptr) {
    AddCrash(record_, crash, now);
    return;
  }
  std::shared_ptr<Probe>& probe = probes_[aRun.server_];
  if (probe != nullptr) {
    probe->crash_.sent_.insert(crash.sent_.begin(), crash.sent_.end());
    return;
  }
  probe = std::make_shared<Probe>();
  probe->crash_ = std::move(crash);
  probe->address_ = aRun.address_;
  CheckUse(probe, kUseChecks);
}

bool
CrashDetector::MayHaveCrashed(const ServerId& aServer,
                              Incarnation aIncarnation) const
{
  const auto probe = probes_.find(aServer);
  return FindCrash(record_, aServer, aIncarnation) != nullptr ||
         (probe != probes_.end() && !probe->second->wasInUse_);
}

bool
CrashDetector::IsInUse(const ServerId& aServer) const
{
  return channels_.HasIdle(aServer) ||
         std::any_of(runs_.begin(), runs_.end(), [&](const auto& aEntry) {
           return aEntry.second.server_ == aServer;
         });
}

void
CrashDetector::CheckUse(const std::shared_ptr<Probe>& aProbe, int aChecksLeft)
{
  aProbe->timer_ =
    loop_.CallAfter(kUseCheckInterval, [this, probe = aProbe, aChecksLeft] {
      probe->timer_ = 0;
      if (!IsInUse(probe->crash_.server_)) {
        Connect(probe);
        return;
      }
      probe->wasInUse_ = true;
      if (aChecksLeft > 1) {
        CheckUse(probe, aChecksLeft - 1);
      } else {
        EndProbe(probe, false);
      }
    });
}

void
CrashDetector::Connect(const std::shared_ptr<Probe>& aProbe)
{
  aProbe->channel_ = http::Channel::Connect(loop_, aProbe->address_);
  http::Channel::Callbacks callbacks;
  const std::weak_ptr<Probe> weak = aProbe;
  callbacks.onConnected_ = [this, weak] {
    if (const auto probe = weak.lock()) {
      EndProbe(probe, false);
    }
  };
  callbacks.onClosed_ = [this, weak](bool /*aWasReset*/) {
    if (const auto probe = weak.lock()) {
      EndProbe(probe, true);
    }
  };
  aProbe->channel_->SetCallbacks(std::move(callbacks));
  aProbe->timer_ = loop_.CallAfter(kProbeTimeout, [this, weak] {
    if (const auto probe = weak.lock()) {
      probe->timer_ = 0;
      EndProbe(probe, false);
    }
  });
}

void
CrashDetector::EndProbe(const std::shared_ptr<Probe>& aProbe, bool aHasCrashed)
{
  loop_.CancelTimer(aProbe->timer_);
  if (aProbe->channel_ != nullptr) {
    aProbe->channel_->Reset();
  }
  probes_.erase(aProbe->crash_.server_);
  if (!aHasCrashed) {
    return;
  }
  const Crash& crash = aProbe->crash_;
  AddCrash(record_, crash, loop_.GetClock().Now());
  LogLine line("server_crashed");
  line.Add("server", crash.server_.Value())
    .Add("incarnation", crash.incarnation_.Value())
    .Add("fingerprints", std::uint64_t(crash.sent_.size()));
  log_.WriteImportant(line);
  if (onNews_) {
    onNews_();
  }
}

} // namespace sycamoreward::edge
