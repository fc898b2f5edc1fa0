#pragma once

// Carries out the duties of the whole system while this instance holds them:
// the usage report of each window and the orders of engines.

#include "base/Clock.h"
#include "edge/Cloud.h"
#include "edge/DutyLease.h"
#include "edge/EdgeState.h"
#include "edge/EnginePlan.h"
#include "edge/ReportExchange.h"
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

  // Begins; aReports must outlive the task.
  void Start(ReportExchange& aReports);
  // Gives the duties up and takes no further step: the process ends.
  void Stop();

  FencingToken HeldEpoch() const
  {
    return isStopped_ ? FencingToken(0) : lease_.heldEpoch_;
  }

private:
  struct WindowReport
  {
    UsageReport report_;
    // The counts are in the store, so that a successor sends the same.
    bool isStored_ = false;
    bool isSent_ = false;
    bool isCallPending_ = false;
    MonotonicTime nextTry_;
  };
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
  void CheckSuspension();
  void CheckLease();
  void ReadLease();
  void OnLeaseRow(const StoreReply& aReply, MonotonicTime aCallStart);
  void ClaimLease(const LeaseRow& aRow);
  void RenewLease();
  StoreRow OwnRow(FencingToken aEpoch) const;

  // The counts of windows that are not reported yet, and how a later holder
  // reads them.
  StoreRow ProgressRow() const;
  void LoadProgress(const StoreRow& aRow);

  void CheckUsage();
  void StoreUsage(std::uint64_t aWindow);
  void OnUsageStored(std::uint64_t aWindow, const StoreReply& aReply);
  void SendUsage(std::uint64_t aWindow);

  void CheckOrders();
  void PlanService(const ServiceSpec& aService);
  // Enters reclaimable engines that the platform takes away.
  void DetectReclaims(const PoolView& aPool,
                      const EnginePlanInputs& aInputs,
                      EnginePlan& aPlan);
  void SendOrder(const OrderKey& aKey, std::uint32_t aCount);
  void OnOrderReply(const OrderKey& aKey, CloudStatus aStatus);

  bool HoldsLease() const;
  // Whether the sums of all instances' reports are whole.
  bool HasCompleteSums() const;
  DutyHolder Holder() const { return { state_.self_, lease_.heldEpoch_ }; }
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
  std::map<ServiceName, EnginePlan> plans_;
  std::map<OrderKey, Order> orders_;
  // Reclaimable engines that were seen to leave.
  std::set<ServerId> leaving_;
  double refused_ = 0;
  MonotonicTime lastPlan_;
  // Size of the list of engines, and since when it has been the same.
  std::size_t listedServers_ = 0;
  MonotonicTime listedSince_;
};

} // namespace sycamoreward::edge
