// Decision logic of the entry instances: placement, admission, quotas, the
// engine plan, server lists and routes. Each test covers one case that a rule
// was made for.

#include "edge/AddressAnswer.h"
#include "edge/Admission.h"
#include "edge/CachedParts.h"
#include "edge/Collectors.h"
#include "edge/Deployment.h"
#include "edge/EnginePlan.h"
#include "edge/EventSplitter.h"
#include "edge/Placement.h"
#include "edge/Quota.h"
#include "edge/SendBuffers.h"
#include "edge/ServerList.h"
#include "edge/UsageCounts.h"

#include <criterion/criterion.h>

#include <limits>
#include <set>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

MonotonicTime
At(double aSeconds)
{
  return MonotonicTime(std::chrono::hours(1) +
                       Duration(Duration::rep(aSeconds * 1e6)));
}

const AggregateSource kCollector{ InstanceId("collector-1"), Incarnation(1) };

PoolView
Pool(int aServers)
{
  PoolView pool;
  pool.isEngine_ = true;
  pool.readRate_ = 38;
  for (int index = 0; index < aServers; ++index) {
    BackendView view;
    view.server_.id_ = ServerId("s" + std::to_string(index));
    view.server_.slots_ = 64;
    view.parts_.SetLimit(100000);
    view.hasIdleChannel_ = true;
    pool.servers_[view.server_.id_] = view;
  }
  return pool;
}

PlacementQuery
Query(double aTokens)
{
  PlacementQuery query;
  query.promptTokens_ = aTokens;
  query.now_ = At(10);
  return query;
}

EnginePlanInputs
PlanInputs(double aSeconds, std::uint32_t aReserved, std::uint32_t aReclaimable)
{
  EnginePlanInputs inputs;
  inputs.now_ = At(aSeconds);
  inputs.min_ = 1;
  inputs.max_ = 12;
  inputs.reclaimablePrice_ = 0.22;
  inputs.engineRate_ = 38000;
  inputs.demand_ = 160000;
  for (const char* name : { "a", "b", "c" }) {
    inputs.present_[FailureDomainId(name)] = { aReserved, aReclaimable };
  }
  return inputs;
}

std::uint32_t
Ordered(const EnginePlan& aPlan)
{
  std::uint32_t count = 0;
  for (const auto& [id, domain] : aPlan.domains_) {
    count += domain.ordered_.reserved_ + domain.ordered_.reclaimable_;
  }
  return count;
}

std::uint32_t
ReservedOrdered(const EnginePlan& aPlan)
{
  std::uint32_t count = 0;
  for (const auto& [id, domain] : aPlan.domains_) {
    count += domain.ordered_.reserved_;
  }
  return count;
}

} // namespace

Test(EdgePlacement, SkipsDrainingAndTriedServers)
{
  PoolView pool = Pool(3);
  pool.servers_[ServerId("s0")].server_.isDraining_ = true;
  PlacementQuery query = Query(100);
  query.tried_.insert(ServerId("s1"));
  cr_expect_eq(ChooseServer(pool, query).server_.Value(), "s2");
  query.tried_.insert(ServerId("s2"));
  cr_expect(ChooseServer(pool, query).server_.Value().empty());
}

// A session stays with the engine that holds its parts while the queue there is
// moderately longer. Reading the parts again on another engine costs more of
// the engines' time than the queue costs the caller.
Test(EdgePlacement, SessionsStayWhileTheQueueIsModeratelyLonger)
{
  PoolView pool = Pool(2);
  const PromptPart part{ 7, 4900 };
  pool.servers_[ServerId("s0")].parts_.Touch(part);
  PlacementQuery query = Query(5900);
  query.parts_ = { part, { 8, 1000 } };
  query.objective_ = std::chrono::milliseconds(2500);
  const std::set<ServerId> both{ ServerId("s0"), ServerId("s1") };
  query.candidates_ = &both;
  // The engine reads 38 tokens/ms, so the part takes 129 ms.
  const auto choose = [&](double aQueueMs) {
    pool.servers_[ServerId("s0")].unread_[1] = { aQueueMs * 38,
                                                 At(10),
                                                 At(10 + aQueueMs / 1000) };
    return ChooseServer(pool, query).server_.Value();
  };
  cr_expect_eq(choose(200), "s0");
  cr_expect_eq(choose(400), "s0");
  cr_expect_eq(choose(2000), "s1");
  // With a short objective the queue may make the answer late.
  query.objective_ = std::chrono::milliseconds(400);
  cr_expect_eq(choose(100), "s0");
  cr_expect_eq(choose(400), "s1");
}

Test(EdgePlacement, PrefersTheServerWithTheShorterQueueOfTokens)
{
  PoolView pool = Pool(2);
  // One long prompt on one server, three short ones on the other.
  pool.servers_[ServerId("s0")].unread_[1] = { 20000, At(10), At(10.5) };
  pool.servers_[ServerId("s0")].running_ = 1;
  for (std::uint64_t work = 2; work < 5; ++work) {
    pool.servers_[ServerId("s1")].unread_[work] = { 300, At(10), At(10.1) };
  }
  pool.servers_[ServerId("s1")].running_ = 3;
  cr_expect_eq(ChooseServer(pool, Query(500)).server_.Value(), "s1");
}

Test(EdgePlacement, CountsOverduePromptsAsUnread)
{
  // If overdue prompts counted as read, more requests would be admitted the
  // more the engine lags.
  BackendView view;
  view.unread_[1] = { 10000, At(0), At(0.25) };
  view.unread_[2] = { 10000, At(0.25), At(0.5) };
  cr_expect_geq(OwnUnreadTokens(view, At(3)), 12000);
}

Test(EdgePlacement, AvoidsAFailingServerAndTriesItAgainLater)
{
  PoolView pool = Pool(2);
  BackendView& failing = pool.servers_[ServerId("s0")];
  pool.servers_[ServerId("s1")].peerUnreadTokens_ = 4000;
  pool.servers_[ServerId("s1")].peerAt_ = At(10);
  for (int count = 0; count < 3; ++count) {
    RecordResult(failing, true, At(10));
  }
  cr_expect_eq(ChooseServer(pool, Query(500)).server_.Value(), "s1");
  PlacementQuery later = Query(500);
  later.now_ = At(40);
  pool.servers_[ServerId("s1")].unread_[1] = { 9000, At(40), At(40.3) };
  cr_expect_eq(ChooseServer(pool, later).server_.Value(), "s0");
}

Test(EdgePlacement, UsesAFailingServerWhenThereIsNoOther)
{
  PoolView pool = Pool(1);
  pool.servers_[ServerId("s0")].avoidUntil_ = At(100);
  cr_expect_eq(ChooseServer(pool, Query(500)).server_.Value(), "s0");
}

Test(EdgePlacement, PrefersTheServerWithCachedParts)
{
  PoolView pool = Pool(2);
  PlacementQuery query = Query(9000);
  query.parts_ = { { 1, 2500 }, { 2, 3700 }, { 3, 2800 } };
  BackendView& holder = pool.servers_[ServerId("s1")];
  holder.parts_.Touch(query.parts_[0]);
  holder.parts_.Touch(query.parts_[1]);
  cr_expect_eq(UncachedTokens(holder, query, 5), 2800);
  cr_expect_eq(ChooseServer(pool, query).server_.Value(), "s1");
}

Test(EdgePlacement, EvictsLeastRecentlyUsedParts)
{
  CachedParts parts(1000);
  parts.Touch({ 1, 400 });
  parts.Touch({ 2, 400 });
  parts.Touch({ 1, 400 });
  parts.Touch({ 3, 400 });
  cr_expect(parts.Has(1));
  cr_expect_not(parts.Has(2));
  cr_expect(parts.Has(3));
}

Test(EdgeAdmission, RefusesLateRequestsAndSpreadsTheirRetries)
{
  AdmissionQuery query;
  query.waitMs_ = 900;
  query.ownMs_ = 50;
  query.objective_ = std::chrono::milliseconds(500);
  query.remaining_ = std::chrono::seconds(6);
  const AdmissionDecision first = DecideAdmission(query);
  cr_expect_not(first.isAccepted_);
  query.draw_ = 0.9;
  cr_expect_gt(DecideAdmission(query).retryAfter_.count(),
               first.retryAfter_.count());
  query.waitMs_ = 100;
  cr_expect(DecideAdmission(query).isAccepted_);
  query.remaining_ = std::chrono::milliseconds(90);
  cr_expect_not(DecideAdmission(query).isAccepted_);
}

Test(EdgeAdmission, AcceptsALargePromptWhileTheQueueIsShort)
{
  AdmissionQuery query;
  query.waitMs_ = 1300;
  query.ownMs_ = 1200;
  query.objective_ = std::chrono::milliseconds(800);
  query.remaining_ = std::chrono::seconds(6);
  cr_expect(DecideAdmission(query).isAccepted_);
}

Test(EdgeQuota, BoundsTheTotalUseOfAllInstances)
{
  // Six instances that each use as much quota as they can and report every 150
  // ms.
  std::vector<Quota> instances(6);
  for (Quota& quota : instances) {
    SetLimits(quota, 10000, 10000, 5000, At(0));
  }
  double used = 0;
  for (int step = 0; step < 1600; ++step) {
    const MonotonicTime now = At(step * 0.005);
    for (Quota& quota : instances) {
      used +=
        TryConsumeQuota(quota, 100, now) == QuotaResult::Consumed ? 100 : 0;
    }
    if (step % 30 == 0) {
      for (std::size_t to = 0; to < instances.size(); ++to) {
        for (std::size_t from = 0; from < instances.size(); ++from) {
          if (to != from) {
            RecordPeerUse(instances[to],
                          InstanceId(std::to_string(from)),
                          instances[from].used_,
                          true,
                          now);
          }
        }
      }
    }
  }
  // Rate, burst and tolerance, plus what the other instances can use before the
  // first reports.
  cr_expect_lt(used, 10000 * 8 + 15000 + 5 * 15000);
  cr_expect_gt(used, 10000 * 7);
}

Test(EdgeQuota, PartitionedSidesStayWithinTheirShares)
{
  // Eighty instances, of which 28 are partitioned one by one: each side uses no
  // more than its share, so that the total stays within the quota.
  double used = 0;
  for (int index = 0; index < 29; ++index) {
    Quota quota;
    SetLimits(quota, 80000, 80000, 8000, At(0));
    SetShare(quota, index == 0 ? 52.0 / 80 : 1.0 / 80, 1, false, At(0));
    for (int step = 0; step < 1600; ++step) {
      const MonotonicTime now = At(step * 0.005);
      for (const int amount : { 100, index == 0 ? 400 : 0 }) {
        used += TryConsumeQuota(quota, amount, now) == QuotaResult::Consumed
                  ? amount
                  : 0;
      }
    }
  }
  cr_expect_lt(used, 80000 * 8 + 88000 + 1000);
  cr_expect_gt(used, 80000 * 7);
}

Test(EdgeQuota, ExtrapolatesAggregateUseBetweenReports)
{
  // Guards against a workspace that sends several times its quota and gets
  // through between two reports: eighty instances report only once a second.
  Quota quota;
  SetLimits(quota, 1000, 1000, 0, At(0));
  double own = 0;
  for (int step = 0; step < 800; ++step) {
    const MonotonicTime now = At(step * 0.01);
    own += TryConsumeQuota(quota, 1, now) == QuotaResult::Consumed ? 1 : 0;
    if (step % 100 == 0) {
      // The others use as much as they are asked for: 2000 a second.
      RecordAggregateUse(quota, kCollector, step * 20.0, now);
    }
  }
  cr_expect_lt(own, 250);
}

Test(EdgeQuota, BoundsTheBurstOfOneInstanceAmongMany)
{
  // Before it receives any report, one of eighty instances uses no more than
  // twice its equal share: of the burst, and of the rate for two seconds.
  constexpr double kMaxUse = 2 * (800000.0 + 2 * 800000.0) / 80;
  Quota quota;
  SetLimits(quota, 800000, 800000, 0, At(0));
  SetShare(quota, 1, 80, true, At(0));
  double used = 0;
  for (int step = 0; step < 200; ++step) {
    const QuotaResult result = TryConsumeQuota(quota, 5000, At(step * 0.01));
    used += result == QuotaResult::Consumed ? 5000 : 0;
  }
  cr_expect_lt(used, kMaxUse + 5000);
  cr_expect_gt(used, 0.8 * kMaxUse);
}

// Guards against a quota that stays reduced after a partition. A suspended
// collector left ninety instances without a digest for three seconds. Each used
// its ninetieth share in the meantime and then behaved as if the rest of the
// quota had been used: most requests were refused for eight seconds.
Test(EdgeQuota, RestoresTheFullQuotaAfterAPartition)
{
  Quota quota;
  SetLimits(quota, 1000, 1000, 100, At(0));
  SetShare(quota, 1.0 / 90, 1, true, At(0));
  cr_expect(TryConsumeQuota(quota, 12, At(0)) == QuotaResult::Consumed);
  cr_expect(TryConsumeQuota(quota, 12, At(0)) == QuotaResult::Exhausted);
  SetShare(quota, 1, 90, false, At(3));
  cr_expect(TryConsumeQuota(quota, 900, At(3)) == QuotaResult::Consumed);
}

// Use during a partition counts after it.
Test(EdgeQuota, CountsUseDuringAPartition)
{
  Quota quota;
  SetLimits(quota, 1000, 1000, 0, At(0));
  SetShare(quota, 0.5, 1, false, At(0));
  cr_expect(TryConsumeQuota(quota, 500, At(0)) == QuotaResult::Consumed);
  SetShare(quota, 1, 2, false, At(0.1));
  RecordPeerUse(quota, InstanceId("other"), 0, true, At(0.1));
  RecordPeerUse(quota, InstanceId("other"), 500, true, At(0.1));
  cr_expect(TryConsumeQuota(quota, 500, At(0.1)) == QuotaResult::Exhausted);
}

// Guards against comparing the sums of collectors that started at different
// times. They have counted different use, and the difference was treated as use
// of the last second, which left no quota after each change of the collector.
Test(EdgeQuota, DoesNotCompareTheSumsOfTwoCollectors)
{
  Quota quota;
  SetLimits(quota, 1000, 1000, 0, At(0));
  RecordAggregateUse(quota, kCollector, 0, At(0));
  RecordAggregateUse(quota, kCollector, 500, At(1));
  const AggregateSource other{ InstanceId("collector-2"), Incarnation(1) };
  RecordAggregateUse(quota, other, 90000, At(2));
  cr_expect(TryConsumeQuota(quota, 400, At(2)) == QuotaResult::Consumed);
  // The use between two sums of the same collector still counts.
  RecordAggregateUse(quota, other, 93000, At(3));
  cr_expect(TryConsumeQuota(quota, 400, At(3)) == QuotaResult::Exhausted);
}

// Two requests of a workspace within a second at one of ninety instances exceed
// its local limit, while the workspace as a whole is far below its quota.
Test(EdgeQuota, GrantsBurstsWhileHalfOfTheQuotaIsLeft)
{
  Quota collector;
  SetLimits(collector, 400000, 400000, 100000, At(0));
  SetShare(collector, 1, 90, true, At(0));
  cr_expect_not(GrantQuota(collector, 10000, At(0)));
  double granted = 0;
  for (int step = 0; step < 200; ++step) {
    granted += GrantQuota(collector, 10000, At(1 + step * 0.01)) ? 10000 : 0;
  }
  // The grant bucket, and its refill over two seconds.
  cr_expect_leq(granted, (0.35 + 2 * 0.25) * 400000);
  cr_expect_geq(granted, 0.25 * 2 * 400000);
  RecordPeerUse(collector, InstanceId("other"), 0, true, At(10));
  cr_expect(GrantQuota(collector, 10000, At(10)));
  RecordPeerUse(collector, InstanceId("other"), 300000, true, At(10));
  cr_expect_not(GrantQuota(collector, 10000, At(10)),
                "less than half of the quota is left");
}

// Guards against instances that restart one after the other while a workspace
// sends several times its quota: each started with a full quota of its own.
Test(EdgeQuota, AnInstanceThatHasJustStartedTakesOverTheLevelOfItsPeers)
{
  Quota peer;
  SetLimits(peer, 1000, 1000, 0, At(0));
  cr_expect_not(LevelForPeers(peer, At(0)).has_value());
  cr_expect(TryConsumeQuota(peer, 900, At(0)) == QuotaResult::Consumed);
  const auto level = LevelForPeers(peer, At(0));
  cr_assert(level.has_value());
  // The report may come before or after the limits are known.
  Quota early;
  RecordPeerLevel(early, InstanceId("peer"), *level, At(0));
  SetLimits(early, 1000, 1000, 0, At(0));
  Quota late;
  SetLimits(late, 1000, 1000, 0, At(0));
  RecordPeerLevel(late, InstanceId("peer"), *level, At(0));
  for (Quota* quota : { &early, &late }) {
    cr_expect(TryConsumeQuota(*quota, 200, At(0)) == QuotaResult::Exhausted);
    cr_expect(TryConsumeQuota(*quota, 200, At(0.2)) == QuotaResult::Consumed);
  }
  // An instance that has run for a while counts itself.
  Quota old;
  SetLimits(old, 1000, 1000, 0, At(0));
  RecordPeerLevel(old, InstanceId("peer"), 0, At(20));
  cr_expect(TryConsumeQuota(old, 900, At(20)) == QuotaResult::Consumed);
}

Test(EdgePlan, ReplacesReservedEnginesOnceReclaimableOnesServe)
{
  // Until reclaimable engines serve, the reserved ones carry the demand with
  // their own margin.
  EnginePlan plan;
  for (int step = 0; step < 4; ++step) {
    UpdatePlan(plan, PlanInputs(step * 0.1, 6, 0));
    cr_expect_geq(ReservedOrdered(plan) * 38000, 3 * 160000);
  }
  for (const auto& [id, domain] : plan.domains_) {
    cr_expect_gt(domain.ordered_.reclaimable_, 3);
  }
  std::uint32_t reclaimable =
    plan.domains_.begin()->second.ordered_.reclaimable_;
  for (int step = 1; step <= 20; ++step) {
    UpdatePlan(plan, PlanInputs(step, 6, reclaimable));
    reclaimable = plan.domains_.begin()->second.ordered_.reclaimable_;
  }
  for (const auto& [id, domain] : plan.domains_) {
    cr_expect_eq(domain.ordered_.reserved_, 1);
  }
}

// Guards against keeping the reserved engines that replaced lost ones: they
// were kept for half a minute after the loss.
Test(EdgePlan, ReleasesReservedEnginesSoonAfterALossInAllDomains)
{
  EnginePlan plan;
  for (int step = 0; step <= 20; ++step) {
    UpdatePlan(plan, PlanInputs(step, 1, 6));
  }
  for (const char* name : { "a", "b", "c" }) {
    RecordLoss(plan, FailureDomainId(name), At(21));
  }
  UpdatePlan(plan, PlanInputs(21, 1, 0));
  // An engine serves four seconds after it was ordered. Reclaimable ones can be
  // ordered again three seconds after the loss, so they serve seven seconds
  // after it; the reserved ones are counted as serving from the first second
  // on.
  for (int step = 22; step <= 40; ++step) {
    UpdatePlan(plan, PlanInputs(step, 6, step < 28 ? 0 : 6));
  }
  for (const auto& [id, domain] : plan.domains_) {
    cr_expect_eq(domain.ordered_.reserved_, 1);
    cr_expect_geq(domain.ordered_.reclaimable_, 5);
  }
}

// Guards against reserved engines that fill the bound of their domains after a
// loss. While the need stayed high, no cheaper engines could be ordered in
// their place.
Test(EdgePlan, ReplacesReservedEnginesWithinTheDomainBound)
{
  EnginePlan plan;
  for (int step = 0; step <= 20; ++step) {
    EnginePlanInputs inputs = PlanInputs(step, 9, 3);
    inputs.demand_ = 600000;
    UpdatePlan(plan, inputs);
  }
  for (const auto& [id, domain] : plan.domains_) {
    cr_expect_lt(domain.ordered_.reserved_, 4);
    cr_expect_gt(domain.ordered_.reclaimable_, 8);
    cr_expect_leq(domain.ordered_.reserved_ + domain.ordered_.reclaimable_, 12);
  }
}

// Guards against treating replacements of single engines as a reclaim, which
// stopped orders for seconds each time.
Test(EdgePlan, DistinguishesReclaimsFromReplacements)
{
  cr_expect(IsReclaim({ 1, 30 }, { 1, 0 }, 30));
  cr_expect(IsReclaim({ 1, 30 }, { 1, 12 }, 18));
  cr_expect_not(IsReclaim({ 1, 30 }, { 1, 28 }, 2));
  // The present engines are as many as were ordered.
  cr_expect_not(IsReclaim({ 1, 10 }, { 1, 10 }, 20));
}

// Guards against a remaining domain that cannot carry the demand after two of
// three domains were lost within six seconds.
Test(EdgePlan, OneOfThreeDomainsCarriesTheDemand)
{
  EnginePlan plan;
  for (int step = 0; step <= 60; ++step) {
    EnginePlanInputs inputs = PlanInputs(step, 1, 40);
    inputs.max_ = 60;
    inputs.demand_ = 1200000;
    UpdatePlan(plan, inputs);
  }
  for (const auto& [id, domain] : plan.domains_) {
    cr_expect_geq(domain.ordered_.reclaimable_ * 38000, 1200000);
  }
}

Test(EdgePlan, OrdersReservedEnginesWhenReclaimableOnesAreGoneEverywhere)
{
  // All domains lose their reclaimable engines and have no others available, so
  // only reserved ones can carry the load: with a margin for bursts, but a
  // smaller one than that of the cheap engines.
  EnginePlan plan;
  for (int step = 0; step <= 20; ++step) {
    UpdatePlan(plan, PlanInputs(step, 1, 6));
  }
  const std::uint32_t before = Ordered(plan);
  for (const char* name : { "a", "b", "c" }) {
    RecordLoss(plan, FailureDomainId(name), At(21));
  }
  UpdatePlan(plan, PlanInputs(21, 1, 0));
  cr_expect_geq(ReservedOrdered(plan) * 38000, 2 * 160000);
  cr_expect_lt(ReservedOrdered(plan), before);
}

// Guards against reserved engines that are released whenever reclaimable ones
// are ordered that the platform does not have. The engines alternated between
// both kinds, and each change was paid for.
Test(EdgePlan, RefusedReclaimableOrdersReplaceNoReservedEngines)
{
  EnginePlan plan;
  for (int step = 0; step <= 20; ++step) {
    UpdatePlan(plan, PlanInputs(step, 1, 6));
  }
  std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
  for (int step = 0; step <= 40; ++step) {
    const double seconds = 21 + step * 0.5;
    if (step % 7 == 0) {
      // The loss, and the refusals of the orders that follow each backoff.
      for (const char* name : { "a", "b", "c" }) {
        RecordLoss(plan, FailureDomainId(name), At(seconds));
      }
    }
    UpdatePlan(plan, PlanInputs(seconds, step < 8 ? 1 : 4, 0));
    lowest = std::min(lowest, ReservedOrdered(plan));
  }
  cr_expect_geq(lowest * 38000, 2 * 160000);
}

// Two of three domains have lost their reclaimable engines and get no others.
// The third one may lose its engines too, before replacements can start.
Test(EdgePlan, ReservedEnginesCarryTheDemandWithoutTheLastDomain)
{
  EnginePlan plan;
  for (int step = 0; step <= 20; ++step) {
    UpdatePlan(plan, PlanInputs(step, 1, 6));
  }
  RecordLoss(plan, FailureDomainId("a"), At(21));
  RecordLoss(plan, FailureDomainId("b"), At(21));
  EnginePlanInputs inputs = PlanInputs(21, 1, 0);
  inputs.present_[FailureDomainId("c")].reclaimable_ = 11;
  UpdatePlan(plan, inputs);
  cr_expect_geq(ReservedOrdered(plan) * 38000, 2 * 160000);
}

// Guards against a holder of the duties that takes over during a wave of
// reclaims and orders no engines until the list stops to change.
Test(EdgePlan, PlansFromAListThatChangesAfterItHasSettled)
{
  ServerListSettling state;
  for (int step = 0; step < 10; ++step) {
    UpdateListState(state, std::size_t(step), At(step * 0.2));
  }
  cr_expect_not(state.hasSettled_, "servers are still registering");
  UpdateListState(state, 9, At(3.5));
  cr_expect(state.hasSettled_);
  UpdateListState(state, 4, At(20));
  UpdateListState(state, 1, At(20.2));
  cr_expect(state.hasSettled_);
}

Test(EdgePlan, KeepsEnginesWhenFurtherOnesAreRefused)
{
  EnginePlan plan;
  for (int step = 0; step <= 20; ++step) {
    UpdatePlan(plan, PlanInputs(step, 1, 6));
  }
  RecordLoss(plan, FailureDomainId("a"), At(21));
  UpdatePlan(plan, PlanInputs(21, 1, 6));
  cr_expect_eq(plan.domains_[FailureDomainId("a")].ordered_.reclaimable_, 6);
}

Test(EdgePlan, KeepsExistingEnginesUntilTheFirstRequests)
{
  EnginePlan plan;
  for (int step = 0; step <= 10; ++step) {
    EnginePlanInputs inputs = PlanInputs(step, step == 0 ? 12 : 1, 12);
    inputs.max_ = 40;
    inputs.demand_ = 0;
    UpdatePlan(plan, inputs);
  }
  cr_expect_geq(Ordered(plan), 36);
}

Test(EdgeServerList, RetainsExpiredEntriesBrieflyAfterAnOutage)
{
  const auto server = [](const char* aId, std::uint16_t aPort) {
    BackendServer entry;
    entry.id_ = ServerId(aId);
    entry.address_ = { "127.0.0.1", aPort };
    return entry;
  };
  ServerList list;
  const std::map<ServerId, BackendServer> both{
    { ServerId("a"), server("a", 1) }, { ServerId("b"), server("b", 2) }
  };
  const std::map<ServerId, BackendServer> one{ { ServerId("a"),
                                                 server("a", 1) } };
  ApplyListed(list, both, At(0));
  RetainMissing(list, std::chrono::seconds(2), At(10));
  ApplyListed(list, one, At(10));
  cr_expect_eq(list.servers_.size(), 2);
  ApplyListed(list, one, At(12));
  cr_expect_eq(list.servers_.size(), 1);
}

// Guards against servers that had left and are used again, because the store
// returned from a copy in which they have not.
Test(EdgeServerList, AServerThatHasLeftIsNotUsedAgainFromAnOlderCopy)
{
  BackendServer server;
  server.id_ = ServerId("a");
  server.incarnation_ = Incarnation(7);
  server.address_ = { "127.0.0.1", 1 };
  BackendServer draining = server;
  draining.isDraining_ = true;
  BackendServer fromCopy = server;
  fromCopy.isFromCopy_ = true;

  ServerList list;
  ApplyListed(list, { { server.id_, server } }, At(0));
  ApplyListed(list, { { server.id_, draining } }, At(1));
  HoldOutDeparted(list, std::chrono::seconds(5), At(2));
  ApplyListed(list, { { server.id_, fromCopy } }, At(2));
  cr_assert_eq(list.servers_.size(), 1);
  cr_expect(list.servers_.begin()->second.isDraining_);

  ApplyListed(list, {}, At(3));
  HoldOutDeparted(list, std::chrono::seconds(5), At(4));
  ApplyListed(list, { { server.id_, fromCopy } }, At(4));
  cr_expect(list.servers_.empty());
  // A later start of the server, or an entry that it has written again, counts.
  BackendServer again = fromCopy;
  again.incarnation_ = Incarnation(8);
  ApplyListed(list, { { server.id_, again } }, At(5));
  cr_expect_eq(list.servers_.size(), 1);
  ApplyListed(list, {}, At(5));
  ApplyListed(list, { { server.id_, server } }, At(6));
  cr_expect_eq(list.servers_.size(), 1);
}

Test(EdgeServerList, DropsEntriesWhoseAddressIsReused)
{
  BackendServer old;
  old.id_ = ServerId("a");
  old.address_ = { "127.0.0.1", 1 };
  BackendServer taken = old;
  taken.id_ = ServerId("b");
  ServerList list;
  ApplyListed(list, { { old.id_, old } }, At(0));
  RetainMissing(list, std::chrono::seconds(2), At(10));
  ApplyListed(list, { { taken.id_, taken } }, At(10));
  cr_assert_eq(list.servers_.size(), 1);
  cr_expect_eq(list.servers_.begin()->first.Value(), "b");
}

Test(EdgeAddresses, ExcludeLeavingAndSilentInstances)
{
  const auto instance =
    [](std::uint16_t aPort, bool aReady, bool aLeaving, bool aHeard) {
      KnownInstance known;
      known.callers_ = { "127.0.0.1", aPort };
      known.isReady_ = aReady;
      known.isLeaving_ = aLeaving;
      known.hasRecentReport_ = aHeard;
      return known;
    };
  const auto addresses = ChooseAddresses({ instance(1, true, false, true),
                                           instance(2, true, true, true),
                                           instance(3, true, false, false),
                                           instance(4, false, false, true) });
  cr_assert_eq(addresses.size(), 1);
  cr_expect_eq(addresses[0].port_, 1);
  // An instance without reports of any other still returns an address.
  cr_expect_eq(ChooseAddresses({ instance(3, true, false, false) }).size(), 1);
}

Test(EdgeCollectors, AreTheStrongestLiveOnesOfManyInstances)
{
  std::vector<CollectorCandidate> few(5);
  cr_expect(ChooseStrongest(few, kCollectors).empty());
  std::vector<CollectorCandidate> many;
  many.reserve(40);
  for (int index = 0; index < 40; ++index) {
    many.push_back({ InstanceId("i" + std::to_string(index)),
                     index < 4 ? 500u : 120u,
                     index != 0 });
  }
  const auto collectors = ChooseStrongest(many, kCollectors);
  cr_assert_eq(collectors.size(), kCollectors);
  for (const InstanceId& id : collectors) {
    cr_expect(id.Value() == "i1" || id.Value() == "i2" || id.Value() == "i3");
  }
}

Test(EdgeUsage, SumsInstancesAndTheirEarlierIncarnations)
{
  UsageCounts usage;
  const WallTime time(std::chrono::seconds(1000));
  CountBegun(usage, WorkspaceId("w"), time);
  const WindowCounts counts{ { 200, { { "w", 3 } } } };
  MergePeerCounts(usage, InstanceId("p"), Incarnation(1), counts);
  MergePeerCounts(usage, InstanceId("p"), Incarnation(1), counts);
  MergePeerCounts(usage, InstanceId("p"), Incarnation(2), counts);
  cr_expect_eq(SumWindow(usage, 200)["w"], 7);
  DropWindowsBefore(usage, 201);
  cr_expect(SumWindow(usage, 200).empty());
}

Test(EdgeEvents, ForwardCompleteEventsOnly)
{
  EventSplitter splitter;
  cr_expect_eq(splitter.Append("id: 1\ndata: a\n\nid: 2\nda"),
               "id: 1\ndata: a\n\n");
  cr_expect_eq(splitter.LastId(), "1");
  cr_expect(IsInsideEvent(splitter.Position()));
  cr_expect_eq(splitter.Append("ta: b\n\n"), "id: 2\ndata: b\n\n");
  cr_expect_eq(splitter.LastId(), "2");
  cr_expect_not(IsInsideEvent(splitter.Position()));
}

Test(EdgeRoutes, TakeTheLongestPrefixOfTheHost)
{
  Deployment deployment;
  for (const char* prefix : { "/a/", "/a/b/", "/" }) {
    Route route;
    route.name_ = prefix;
    route.host_ = "h.example";
    route.prefix_ = prefix;
    deployment.routes_.push_back(route);
  }
  const RouteTable table(deployment);
  cr_expect_eq(table.FindRoute("H.example:80", "/a/b/c?x=/a/")->name_, "/a/b/");
  cr_expect_eq(table.FindRoute("h.example", "/a/bc")->name_, "/a/");
  cr_expect_eq(table.FindRoute("h.example", "/x")->name_, "/");
  cr_expect_null(table.FindRoute("other.example", "/a/"));
}

// Guards against answers without end, each within its bound, that fill the
// memory together.
Test(SendBuffers, AnswersOfAllRequestsAreBounded)
{
  constexpr std::size_t kAll = kDefaultStreamedBytes;
  cr_expect_eq(MaxUnsentBytes(1, kAll), kMaxUnsentBytes);
  for (std::size_t requests = 0; requests <= 2000; ++requests) {
    cr_expect_leq(requests * MaxUnsentBytes(requests, kAll), kAll);
  }
  cr_expect_eq(MaxUnsentBytes(100000, kAll), kMinUnsentBytes);
}
