// Property tests for the fair queue and load shedding.

#include "limits/FairQueue.h"
#include "limits/Shed.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamoreward;

namespace {

const auto kAnyFits = [](const QueueItem&) { return true; };

QueueItem
Item(std::uint64_t aTicket, int aWorkspace, std::uint64_t aCost)
{
  QueueItem item;
  item.ticket_ = aTicket;
  item.workspace_ = WorkspaceId("w" + std::to_string(aWorkspace));
  item.cost_ = aCost;
  return item;
}

} // namespace

// Guards against starvation of a workspace by others with more or larger
// requests: while all workspaces have queued requests, the work served per
// share differs by a bounded amount.
Test(Limits, WaitingWorkspacesGetWorkInProportionToTheirShares)
{
  cr_assert(rc::check([] {
    constexpr int kWorkspaces = 4;
    FairQueue queue;
    std::uint64_t ticket = 1;
    unsigned shares[kWorkspaces];
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      shares[workspace] = *rc::gen::inRange(1U, 4U);
      for (int count = 0; count < 80; ++count) {
        QueueItem item =
          Item(ticket++,
               workspace,
               *rc::gen::inRange<std::uint64_t>(1, kMaxCost + 1));
        item.share_ = shares[workspace];
        Push(queue, item);
      }
    }
    double served[kWorkspaces] = {};
    // Few enough requests that no workspace's queue runs empty.
    for (int count = 0; count < 75; ++count) {
      const auto item = PopNext(queue, {}, kAnyFits);
      RC_ASSERT(item.has_value());
      const int workspace = item->workspace_.Value()[1] - '0';
      served[workspace] += double(item->cost_) / item->share_;
      for (const double left : served) {
        for (const double right : served) {
          RC_ASSERT(left - right <= double(2 * kMaxCost + kQuantum));
        }
      }
    }
  }));
}

// Guards against a request with excluded servers that blocks the other requests
// of its workspace.
Test(Limits, SkipsItemThatDoesNotFit)
{
  FairQueue queue;
  Push(queue, Item(1, 0, 10));
  Push(queue, Item(2, 0, 10));
  const auto item = PopNext(
    queue, {}, [](const QueueItem& aItem) { return aItem.ticket_ != 1; });
  cr_assert(item.has_value());
  cr_assert_eq(item->ticket_, 2);
  cr_assert_not(
    PopNext(queue, {}, [](const QueueItem&) { return false; }).has_value());
  cr_assert_eq(SizeOf(queue), 1);
}

// Guards against items that are lost or returned twice by pushes, pops and
// removals in any order.
Test(Limits, EachItemLeavesTheQueueExactlyOnce)
{
  cr_assert(rc::check([] {
    FairQueue queue;
    std::set<std::uint64_t> waiting;
    std::uint64_t next = 1;
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const int step : steps) {
      if (step < 2) {
        waiting.insert(next);
        QueueItem item = Item(next++, step, 100);
        item.level_.priority_ = unsigned(next % 3);
        Push(queue, item);
      } else if (step == 2 && !waiting.empty()) {
        RC_ASSERT(Remove(queue, *waiting.begin()).has_value());
        waiting.erase(waiting.begin());
      } else if (!queue.levels_.empty()) {
        const auto item =
          PopNext(queue, queue.levels_.begin()->first, kAnyFits);
        RC_ASSERT(item.has_value());
        RC_ASSERT(waiting.erase(item->ticket_) == 1);
      }
      RC_ASSERT(SizeOf(queue) == waiting.size());
    }
  }));
}

// Guards against a workspace that fills the queue and thereby locks out the
// others.
Test(Limits, FullQueueEvictsFromLargestBacklog)
{
  FairQueue queue;
  for (std::uint64_t ticket = 1; ticket <= 8; ++ticket) {
    Push(queue, Item(ticket, 0, 10));
  }
  const auto victim = ChooseVictim(queue, Item(9, 1, 10));
  cr_assert(victim.has_value());
  cr_assert_eq(victim->ticket_, 8);
  cr_assert_not(ChooseVictim(queue, Item(9, 0, 10)).has_value());
  QueueItem low = Item(9, 1, 10);
  low.level_.priority_ = 7;
  cr_assert_not(ChooseVictim(queue, low).has_value());
}

// A request must be refused at once if its expected wait is too long, with 429
// only for a workspace that exceeds its share.
Test(Limits, RequestThatWouldWaitTooLongIsRefused)
{
  cr_assert(rc::check([] {
    ShedInput input;
    input.slots_ = *rc::gen::inRange(0U, 50U);
    input.requestsAhead_ = *rc::gen::inRange(0U, 500U);
    input.serviceTime_ = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    input.deadline_ = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    input.isQueueFull_ = *rc::gen::arbitrary<bool>();
    input.isWorkspaceOverShare_ = *rc::gen::arbitrary<bool>();
    const ShedDecision decision = DecideShed(input);
    const Duration wait =
      ExpectedWait(input.requestsAhead_, input.slots_, input.serviceTime_);
    if (input.slots_ == 0) {
      RC_ASSERT(decision.refusal_ == Refusal::NoServer);
    } else if (input.isQueueFull_ || wait > input.deadline_) {
      RC_ASSERT(decision.refusal_ == (input.isWorkspaceOverShare_
                                        ? Refusal::WorkspaceOverShare
                                        : Refusal::Overloaded));
      RC_ASSERT(decision.retryAfter_ > Duration(0));
    } else {
      RC_ASSERT(decision.refusal_ == Refusal::None);
    }
  }));
}

// Guards against long work that is starved by short work: there is one slot,
// which the next item always takes, and short work is always queued.
Test(Limits, AgedLongWorkIsServedBeforeShortWork)
{
  cr_assert(rc::check([] {
    const auto half = *rc::gen::inRange(1, 40);
    const auto arrivals = *rc::gen::inRange(1, 4);
    const MonotonicTime start{ std::chrono::hours(1) };
    FairQueue queue;
    QueueItem longItem;
    longItem.ticket_ = 1;
    longItem.level_ = { 6, true };
    longItem.cost_ = kMaxCost;
    longItem.agedAt_ = start + std::chrono::seconds(half);
    Push(queue, longItem);
    const auto fits = [](const QueueItem&) { return true; };
    std::uint64_t ticket = 2;
    int served = -1;
    for (int second = 0; served < 0 && second < 100; ++second) {
      const MonotonicTime now = start + std::chrono::seconds(second);
      for (int count = 0; count < arrivals; ++count) {
        QueueItem item;
        item.ticket_ = ticket++;
        item.workspace_ = WorkspaceId("w" + std::to_string(count));
        item.agedAt_ = now + std::chrono::hours(1);
        Push(queue, item);
      }
      auto next = PopAged(queue, now, fits);
      next = next ? next : PopNext(queue, queue.levels_.begin()->first, fits);
      served = next && next->ticket_ == 1 ? second : -1;
    }
    // Not earlier, since short work would then wait behind it needlessly.
    RC_ASSERT(served == half);
  }));
}
