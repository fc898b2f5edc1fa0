// Life cycle of an entry instance: start, reclaim and drain.

#include "sycamoreward/EntryInstance.h"

#include "entry/EntryState.h"

#include <algorithm>
#include <utility>

namespace sycamoreward {

namespace {

// Interval at which a drain checks whether requests have ended and their
// outcomes are durable.
constexpr std::chrono::milliseconds kDrainCheckInterval{ 50 };
// A reclaimed instance terminates this long before the platform reclaims it, so
// that its peers see closed connections instead of silent ones.
constexpr std::chrono::milliseconds kReclaimMargin{ 100 };

} // namespace

void
EntryInstance::State::OnReclaimNotice(Duration aLeft)
{
  log_->warn(
    "The instance will be reclaimed in {} ms.",
    std::chrono::duration_cast<std::chrono::milliseconds>(aLeft).count());
  Leave();
  isReclaimed_ = true;
  callerApi_.HandOverAll(loop_.GetClock().Now() + aLeft);
  reclaimTimer_ = loop_.CallAfter(std::max(Duration(0), aLeft - kReclaimMargin),
                                  [this] { FinishReclaim(); });
  if (drainTimer_ == 0) {
    CheckDrained();
  }
}

void
EntryInstance::State::Leave()
{
  if (isLeaving_) {
    return;
  }
  isLeaving_ = true;
  membership_.Leave();
  callerServer_.StopAccepting();
}

bool
EntryInstance::State::IsDrained() const
{
  return callerApi_.RunningRequests() == 0 &&
         callerServer_.OpenExchanges() == 0 &&
         callerServer_.UnsentReplies() == 0 && ledger_.BufferedOutcomes() == 0;
}

void
EntryInstance::State::CheckDrained()
{
  if (!IsDrained()) {
    drainTimer_ =
      loop_.CallAfter(kDrainCheckInterval, [this] { CheckDrained(); });
    return;
  }
  if (const auto onDrained = std::exchange(onDrained_, nullptr)) {
    onDrained();
  }
  if (isReclaimed_) {
    FinishReclaim();
  }
}

void
EntryInstance::State::FinishReclaim()
{
  loop_.CancelTimer(reclaimTimer_);
  if (const auto onReclaimed = std::exchange(onReclaimed_, nullptr)) {
    log_->info(
      "Terminating after a reclaim notice with {} requests still running.",
      callerApi_.RunningRequests());
    onReclaimed();
  }
}

EntryInstance::EntryInstance(EventLoop& aLoop, const Settings& aSettings)
  : state_(std::make_unique<State>(aLoop, aSettings))
{
}

EntryInstance::~EntryInstance()
{
  state_->loop_.CancelTimer(state_->drainTimer_);
  state_->loop_.CancelTimer(state_->reclaimTimer_);
}

std::string
EntryInstance::CallerAddress() const
{
  return ToString(state_->callerServer_.BoundAddress());
}

std::string
EntryInstance::OperatorAddress() const
{
  return ToString(state_->operatorServer_.BoundAddress());
}

std::string
EntryInstance::PeerAddress() const
{
  return ToString(state_->network_.BoundAddress());
}

void
EntryInstance::Drain(std::function<void()> aOnDone)
{
  if (state_->onDrained_) {
    return;
  }
  state_->log_->info("Draining {} requests.",
                     state_->callerApi_.RunningRequests());
  state_->onDrained_ = std::move(aOnDone);
  state_->Leave();
  state_->callerApi_.StopAccepting();
  if (state_->drainTimer_ == 0) {
    state_->CheckDrained();
  }
}

void
EntryInstance::OnReclaimed(std::function<void()> aOnDone)
{
  state_->onReclaimed_ = std::move(aOnDone);
}

} // namespace sycamoreward
