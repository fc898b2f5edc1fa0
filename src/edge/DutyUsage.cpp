// The part of DutyTask that reports usage.

#include "edge/DutyRows.h"
#include "edge/DutyTask.h"
#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

namespace sycamoreward::edge {

namespace {

// Delay after a window's end by which the reports of the other instances have
// arrived.
constexpr Duration kUsageDelay = std::chrono::milliseconds(1500);
// The same when instances report to collectors once a second. It allows for the
// loss of two reports.
constexpr Duration kCollectedUsageDelay = std::chrono::milliseconds(3000);
// Time for which nearly all instances must have reported to this one before its
// sums are used: each of them sends at least one report in it.
constexpr Duration kMinCompleteTime = std::chrono::milliseconds(1200);
constexpr Duration kUsageRetry = std::chrono::milliseconds(600);
// Number of windows whose counts are kept in the store until they are reported.
constexpr std::uint64_t kProgressWindows = 4;

} // namespace

bool
DutyTask::HasCompleteSums() const
{
  return reports_->IsMesh() ||
         reports_->ReportsCompleteFor() >= kMinCompleteTime;
}

void
DutyTask::CheckUsage()
{
  const WallTime wall = state_.AgreedWall();
  const MonotonicTime now = state_.loop_.GetClock().Now();
  const bool isCollected = !reports_->IsMesh();
  const Duration delay = isCollected ? kCollectedUsageDelay : kUsageDelay;
  const std::uint64_t newest = WindowOf(state_.usage_, wall - delay);
  const std::uint64_t oldest = WindowOf(state_.usage_, wall - kUsageDeadline);
  for (std::uint64_t window = oldest; window < newest; ++window) {
    const bool isKnown = windows_.count(window) != 0;
    if (lease_.isCallPending_) {
      return;
    }
    if (!isKnown && SumWindow(state_.usage_, window).empty()) {
      continue;
    }
    WindowReport& entry = windows_[window];
    if (window < reportable_.first_ && !entry.isStored_) {
      // It may have been reported with other counts.
      continue;
    }
    if (entry.isSent_ || entry.isUnreadable_ || entry.isCallPending_ ||
        now < entry.nextTry_) {
      continue;
    }
    entry.nextTry_ = now + kUsageRetry;
    entry.isCallPending_ = true;
    if (entry.isStored_) {
      SendUsage(window);
    } else {
      StoreUsage(window);
    }
  }
}

void
DutyTask::StoreUsage(std::uint64_t aWindow)
{
  const std::string key = std::to_string(aWindow);
  WindowReport& entry = windows_[aWindow];
  entry.report_.window_ = aWindow;
  entry.report_.counts_ = SumWindow(state_.usage_, aWindow);
  StoreWrite write;
  write.conditions_.push_back({ kDutyTable, kLeaseKey, lease_.rowVersion_ });
  write.conditions_.push_back({ kUsageTable, key, 0 });
  write.rows_.push_back(OwnRow(lease_.heldEpoch_));
  write.rows_.push_back({ kUsageTable,
                          key,
                          nlohmann::json(entry.report_.counts_).dump(),
                          0,
                          false });
  // Removes the row of a window that is no longer reported.
  constexpr std::uint64_t kKeptWindows = 24;
  write.removed_.push_back(
    { kUsageTable, std::to_string(aWindow - kKeptWindows), "", 0, false });
  lease_.isCallPending_ = true;
  const MonotonicTime callStart = state_.loop_.GetClock().Now();
  const StoreEra callEra = lease_.era_;
  const auto onReply =
    [this, aWindow, callStart, callEra](const StoreReply& aReply) {
      lease_.isCallPending_ = false;
      if (IsOutdated(aReply, callEra)) {
        windows_[aWindow].isCallPending_ = false;
        return;
      }
      if (aReply.status_ == StoreStatus::Ok) {
        ApplyLeaseWrite(lease_,
                        lease_.heldEpoch_,
                        aReply.version_,
                        callStart,
                        state_.loop_.GetClock().Now());
      }
      OnUsageStored(aWindow, aReply);
    };
  store_.Write(write, onReply);
}

void
DutyTask::OnUsageStored(std::uint64_t aWindow, const StoreReply& aReply)
{
  WindowReport& entry = windows_[aWindow];
  entry.isCallPending_ = false;
  if (aReply.status_ == StoreStatus::Ok) {
    entry.isStored_ = true;
  } else if (aReply.status_ == StoreStatus::Conflict) {
    const StoreRow* lease = FindRow(aReply.rows_, kLeaseKey);
    if (lease == nullptr || lease->version_ != lease_.rowVersion_) {
      MarkUnverified(lease_, state_.loop_.GetClock().Now());
      return;
    }
    const StoreRow* usage = FindRow(aReply.rows_, std::to_string(aWindow));
    if (usage == nullptr) {
      return;
    }
    const auto counts = DecodeCounts(usage->value_);
    entry.isStored_ = counts.has_value();
    entry.isUnreadable_ = !counts.has_value();
    if (counts.has_value()) {
      entry.report_.counts_ = *counts;
    } else {
      LogLine line("usage_counts_unreadable");
      line.Add("window", aWindow);
      state_.log_.WriteImportant(line);
    }
  }
  if (entry.isStored_ && HoldsLease()) {
    entry.isCallPending_ = true;
    SendUsage(aWindow);
  }
}

void
DutyTask::SendUsage(std::uint64_t aWindow)
{
  cloud_.Send(
    Holder(), windows_[aWindow].report_, [this, aWindow](CloudStatus aStatus) {
      const auto found = windows_.find(aWindow);
      if (found == windows_.end()) {
        return;
      }
      found->second.isCallPending_ = false;
      found->second.isSent_ = aStatus == CloudStatus::Ok;
      LogLine line("usage_reported");
      line.Add("window", aWindow)
        .Add("epoch", lease_.heldEpoch_.Value())
        .Add("accepted", aStatus == CloudStatus::Ok);
      state_.log_.WriteImportant(line);
      if (aStatus == CloudStatus::Superseded && HoldsLease()) {
        LoseLease("superseded");
      }
    });
}

StoreRow
DutyTask::ProgressRow() const
{
  const std::uint64_t oldest = CurrentWindow() - kProgressWindows;
  auto json = nlohmann::json::array();
  const auto add = [&](const InstanceId& aInstance,
                       Incarnation aIncarnation,
                       const WindowCounts& aCounts) {
    auto windows = nlohmann::json::object();
    for (const auto& [window, counts] : aCounts) {
      if (window >= oldest) {
        windows[std::to_string(window)] = counts;
      }
    }
    if (!windows.empty()) {
      json.push_back({ { "instance", aInstance.Value() },
                       { "incarnation", aIncarnation.Value() },
                       { "windows", std::move(windows) } });
    }
  };
  add(lease_.self_, lease_.incarnation_, state_.usage_.own_);
  for (const auto& [peer, counts] : state_.usage_.peers_) {
    add(peer.first, peer.second, counts);
  }
  return { kDutyTable, kProgressKey, json.dump(), 0, false };
}

void
DutyTask::LoadProgress(const StoreRow& aRow)
{
  const auto json = nlohmann::json::parse(aRow.value_, nullptr, false);
  try {
    for (const auto& entry : json) {
      const InstanceId instance(entry.at("instance").get<std::string>());
      const Incarnation incarnation(
        entry.at("incarnation").get<std::uint64_t>());
      if (instance == lease_.self_ && incarnation == lease_.incarnation_) {
        continue;
      }
      WindowCounts counts;
      for (const auto& [window, use] : entry.at("windows").items()) {
        counts[std::stoull(window)] = use.get<WorkspaceCounts>();
      }
      MergePeerCounts(state_.usage_, instance, incarnation, counts);
    }
  } catch (const std::exception& error) {
    LogLine line("usage_progress_unreadable");
    line.Add("error", error.what());
    state_.log_.WriteImportant(line);
  }
}

} // namespace sycamoreward::edge
