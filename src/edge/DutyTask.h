#pragma once

// Carries out the system-wide duties while this instance holds them: reporting
// the usage of each window and ordering engines.

#include "base/Clock.h"
#include "edge/Cloud.h"
#include "edge/DutyLease.h"
#include "edge/EdgeState.h"
#include "edge/EnginePlan.h"
#include "edge/ReportExchange.h"
#include "edge/ReportableWindows.h"
#include "edge/RowStore.h"

#include <map>
#include <set>

namespace sycamoreward::edge {

class DutyTask
{
public:
  DutyTask(EdgeState& aState,
           RowStore& aStore,
           Cloud& aCloud,
           Incarnation aIncarnation);
  ~DutyTask();
  DutyTask(const DutyTask&) = delete;
  DutyTask& operator=(const DutyTask&) = delete;

  // Starts the task. aReports must outlive it.
  void Start(ReportExchange& aReports);
  // Releases the duties and takes no further action, because the process ends.
  void Stop();

  // Returns the epoch of the lease that this instance holds; 0 for none.
  FencingToken HeldEpoch() const
  {
    return isStopped_ ? FencingToken(0) : lease_.heldEpoch_;
  }

  // Number of times that this instance gave up the duties because they failed.
  std::uint64_t Failures() const { return failures_; }

private:
  // Progress of the usage report of one window.
  struct WindowReport
  {
    UsageReport report_;
    // The counts are in the store, so that a later holder sends the same ones.
    bool isStored_ = false;
    bool isSent_ = false;
    bool isCallPending_ = false;
    // The stored counts can't be read. Others must not be sent.
    bool isUnreadable_ = false;
    MonotonicTime nextTry_;
  };
  // State of the order for one kind of engine in one failure domain.
  struct Order
  {
    std::uint32_t sentCount_ = 0;
    bool isKnown_ = false;
    bool isCallPending_ = false;
    MonotonicTime nextTry_;
    Duration backoff_{ 0 };
  };
  using OrderKey = std::tuple<ServiceName, FailureDomainId, bool>;

  void Tick();
  // Carries out what is due. If that fails, another instance takes over the
  // duties, and the requests of this one go on.
  void CarryOutDuties();
  // Lets another instance take over the duties at once.
  void ReleaseLease();
  // Marks the lease as unverified if the process was suspended.
  void CheckSuspension();
  void CheckLease();
  void ReadLease();
  void OnLeaseRow(const StoreReply& aReply, MonotonicTime aCallStart);
  void ClaimLease(const LeaseRow& aRow);
  void RenewLease();
  // The lease row with this instance as the holder, or with aHolder, which is
  // empty when this instance releases the lease.
  StoreRow OwnRow(FencingToken aEpoch) const;
  StoreRow MakeRow(const InstanceId& aHolder, FencingToken aEpoch) const;
  // Notes the era of the store.
  void CheckEra();
  // Returns whether the store has returned from an older copy since it gave
  // aReply, which then tells nothing of the rows as they are now.
  bool IsOutdated(const StoreReply& aReply);
  // The same for a write that began in aCallEra. Its conditions were chosen in
  // that era, so its outcome counts only within it.
  bool IsOutdated(const StoreReply& aReply, StoreEra aCallEra);
  std::uint64_t CurrentWindow() const;

  // The row with the counts of windows that are not reported yet, and how a
  // later holder loads it.
  StoreRow ProgressRow() const;
  void LoadProgress(const StoreRow& aRow);

  void CheckUsage();
  // Stores the counts of a window before they are sent, so that every holder
  // reports the same ones.
  void StoreUsage(std::uint64_t aWindow);
  void OnUsageStored(std::uint64_t aWindow, const StoreReply& aReply);
  void SendUsage(std::uint64_t aWindow);

  // Notes whether the list of servers has settled, also while another instance
  // holds the duties: a holder that takes over while engines are being lost
  // must order at once.
  void CheckServerList();
  void CheckOrders();
  void PlanService(const ServiceSpec& aService);
  // Finds reclaimable engines that have begun to leave, and records a loss for
  // each domain where the platform reclaims them.
  void DetectReclaims(const PoolView& aPool,
                      const EnginePlanInputs& aInputs,
                      EnginePlan& aPlan);
  // Sends an order if its count has changed or the last call failed.
  void SendOrder(const OrderKey& aKey, std::uint32_t aCount);
  void OnOrderReply(const OrderKey& aKey, CloudStatus aStatus);

  // Returns whether this instance may act as the holder now.
  bool HoldsLease() const;
  // Returns whether the sums over all instances' reports are complete.
  bool HasCompleteSums() const;
  DutyHolder Holder() const { return { state_.self_, lease_.heldEpoch_ }; }
  // Gives up the lease and logs the reason.
  void LoseLease(const char* aReason);

  EdgeState& state_;
  RowStore& store_;
  Cloud& cloud_;
  ReportExchange* reports_ = nullptr;
  DutyLease lease_;
  bool isStopped_ = false;
  std::uint64_t timer_ = 0;
  MonotonicTime lastTick_;
  WallTime lastWall_;
  std::map<std::uint64_t, WindowReport> windows_;
  ReportableWindows reportable_;
  std::map<ServiceName, EnginePlan> plans_;
  std::map<OrderKey, Order> orders_;
  // Reclaimable engines that are known to be leaving.
  std::set<ServerId> leaving_;
  double refused_ = 0;
  std::uint64_t failures_ = 0;
  MonotonicTime lastPlan_;
  ServerListSettling listState_;
};

} // namespace sycamoreward::edge
