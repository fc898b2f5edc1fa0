// Properties of leases, orders and capacity plans.

#include "fleet/CapacityPlan.h"
#include "fleet/Lease.h"
#include "fleet/Orders.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamoreward;

namespace {

Duration
Milliseconds(int aCount)
{
  return std::chrono::milliseconds(aCount);
}

// One candidate for the lease. Its clock runs at its own rate, and it may be
// suspended between any two steps.
struct Candidate
{
  InstanceId id_;
  // Clock rate relative to true time, within half of the drift bound.
  double rate_ = 1;
  LeaseObservation observation_;
  std::optional<HeldLease> held_;

  MonotonicTime Local(Duration aTrue) const
  {
    return MonotonicTime(std::chrono::duration_cast<Duration>(aTrue * rate_));
  }
};

// The shared lease row, with conditional writes.
struct SharedRow
{
  std::optional<LeaseRow> row_;

  bool Write(const std::optional<LeaseRow>& aExpected, const LeaseRow& aNew)
  {
    const bool isExpected =
      aExpected ? row_ && row_->renewals_ == aExpected->renewals_ : !row_;
    if (isExpected) {
      row_ = aNew;
    }
    return isExpected;
  }
};

void
Step(Candidate& aCandidate,
     SharedRow& aShared,
     Duration aSent,
     Duration aArrived,
     const LeaseTerms& aTerms)
{
  const MonotonicTime sent = aCandidate.Local(aSent);
  const MonotonicTime arrived = aCandidate.Local(aArrived);
  LeaseRow next;
  next.holder_ = aCandidate.id_;
  if (aCandidate.held_ && IsValid(*aCandidate.held_, sent)) {
    next = *aCandidate.observation_.row_;
    ++next.renewals_;
  } else {
    RecordLeaseRow(aCandidate.observation_, aShared.row_, sent);
    if (!MayTakeOver(aCandidate.observation_, sent, aTerms)) {
      return;
    }
    const auto& seen = aCandidate.observation_.row_;
    next.epoch_ = FencingToken(seen ? seen->epoch_.Value() + 1 : 1);
    next.renewals_ = seen ? seen->renewals_ + 1 : 1;
  }
  if (aShared.Write(aCandidate.observation_.row_, next)) {
    RecordLeaseRow(aCandidate.observation_, next, arrived);
    aCandidate.held_ = GrantLease(aCandidate.held_, next, sent, aTerms);
  } else {
    RecordLeaseRow(aCandidate.observation_, aShared.row_, arrived);
    aCandidate.held_.reset();
  }
}

} // namespace

// Guards against two simultaneous holders when processes are suspended and
// clocks run at different rates.
Test(Fleet, LeaseHasAtMostOneHolder)
{
  const bool isHeldOnce = rc::check("at most one valid holder", [] {
    const LeaseTerms terms;
    SharedRow shared;
    std::vector<Candidate> candidates(3);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      candidates[index].id_ = InstanceId("i-" + std::to_string(index));
      candidates[index].rate_ = 1.0 + *rc::gen::inRange(-4, 5) / 1000.0;
    }
    Duration now(0);
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      auto& candidate = candidates[*rc::gen::inRange<std::size_t>(0, 3)];
      now += Milliseconds(*rc::gen::inRange(0, 20'000));
      const Duration sent = now;
      now += Milliseconds(*rc::gen::inRange(0, 3'000));
      Step(candidate, shared, sent, now, terms);
      int holders = 0;
      for (const auto& each : candidates) {
        holders += each.held_ && IsValid(*each.held_, each.Local(now)) ? 1 : 0;
      }
      RC_ASSERT(holders <= 1);
    }
  });
  cr_assert(isHeldOnce);
}

// Guards against an order of the previous holder that arrives after an order of
// the current holder, at servers that ignore fencing tokens.
Test(Fleet, OrdersOfTwoHoldersDoNotOverlapWithoutFencing)
{
  const bool isOrdered =
    rc::check("orders of different epochs don't overlap", [] {
      const OrderTerms terms;
      HeldLease old;
      old.epoch_ = FencingToken(1);
      old.validUntil_ = MonotonicTime(terms.lease_.duration_ * 10);
      const MonotonicTime oldOrder =
        old.validUntil_ - Milliseconds(*rc::gen::inRange(0, 10'000));
      HeldLease next;
      next.epoch_ = FencingToken(2);
      next.acquired_ =
        old.validUntil_ + Milliseconds(*rc::gen::inRange(0, 1'000));
      next.validUntil_ = next.acquired_ + terms.lease_.duration_ * 10;
      const MonotonicTime newOrder =
        next.acquired_ + Milliseconds(18'000 + *rc::gen::inRange(0, 6'000));
      if (CheckOrderPermission(old, FencingSupport::Ignored, oldOrder, terms) !=
            OrderPermission::Allowed ||
          CheckOrderPermission(
            next, FencingSupport::Ignored, newOrder, terms) !=
            OrderPermission::Allowed) {
        return;
      }
      // The old holder is suspended between checking its lease and sending.
      const Duration suspension = terms.lease_.duration_ + terms.orderTimeout_;
      RC_ASSERT(oldOrder + suspension + terms.orderTimeout_ <= newOrder);
    });
  cr_assert(isOrdered);
}

// Guards against a rule that never allows an order, which would satisfy the
// property above.
Test(Fleet, RenewedHolderSendsOrdersWithoutFencing)
{
  const OrderTerms terms;
  HeldLease lease;
  const MonotonicTime renewed(std::chrono::minutes(1));
  lease.validUntil_ = renewed + terms.lease_.duration_;
  for (Duration since(0); since < terms.lease_.renewInterval_;
       since += Milliseconds(500)) {
    cr_assert_eq(CheckOrderPermission(
                   lease, FencingSupport::Ignored, renewed + since, terms),
                 OrderPermission::Allowed);
  }
}

Test(Fleet, SuspendedHolderSendsNoOrder)
{
  const OrderTerms terms;
  const HeldLease lease = GrantLease(
    std::nullopt, LeaseRow{}, MonotonicTime(Duration(0)), terms.lease_);
  const MonotonicTime afterSuspension(terms.lease_.duration_);
  cr_assert_eq(CheckOrderPermission(
                 lease, FencingSupport::Checked, afterSuspension, terms),
               OrderPermission::NotHeld);
}

// Guards against a plan that does not survive the loss of a domain's
// reclaimable instances, or that uses a refused offer or more instances than
// available.
Test(Fleet, SufficientPlansSurviveReclaims)
{
  const bool isSafe = rc::check("plans keep the required capacity", [] {
    std::vector<InstanceOffer> offers;
    const int domains = *rc::gen::inRange(1, 5);
    for (int domain = 0; domain < domains; ++domain) {
      for (const bool isReclaimable : { true, false }) {
        InstanceOffer offer;
        offer.failureDomain_ = FailureDomainId("fd-" + std::to_string(domain));
        offer.class_ = "gpu";
        offer.isReclaimable_ = isReclaimable;
        offer.price_ = *rc::gen::inRange(1, 100);
        offer.capacity_ = *rc::gen::inRange(100, 300);
        offer.available_ = *rc::gen::inRange(0, 50);
        offer.isRefused_ = *rc::gen::inRange(0, 4) == 0;
        offers.push_back(offer);
      }
    }
    CapacityDemand demand;
    demand.total_ = *rc::gen::inRange(0, 5'000);
    demand.afterReclaim_ = demand.total_ * 0.9;
    demand.afterDomainLoss_ = demand.total_ * 0.7;
    const CapacityPlan plan = PlanCapacity(offers, demand);
    for (const auto& planned : plan.instances_) {
      RC_ASSERT(!planned.offer_.isRefused_);
      RC_ASSERT(planned.count_ <= planned.offer_.available_);
    }
    if (plan.isSufficient_) {
      RC_ASSERT(TotalCapacity(plan) >= demand.total_);
      RC_ASSERT(CapacityAfterReclaim(plan) >= demand.afterReclaim_);
      RC_ASSERT(CapacityAfterDomainLoss(plan) >= demand.afterDomainLoss_);
    }
  });
  cr_assert(isSafe);
}
