#pragma once

// A fake scheduler that grants the first server that is not excluded, and
// tracks the slots that were not freed.

#include "routing/Scheduler.h"
#include "runtime/EventLoop.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace sycamoreward {

class FakeScheduler final : public Scheduler
{
public:
  explicit FakeScheduler(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  Ticket Submit(const std::shared_ptr<const Configuration>&,
                const Service&,
                const RequestTraits& aTraits,
                Duration,
                std::function<void(Grant)> aOnGrant) override
  {
    const Ticket ticket = next_++;
    Grant grant;
    grant.refusal_ = Refusal::NoServer;
    for (const Server& server : servers_) {
      const auto& excluded = aTraits.excluded_;
      if (!grant.server_ &&
          std::find(excluded.begin(), excluded.end(), server.id_) ==
            excluded.end()) {
        grant.server_ = server;
        grant.refusal_ = Refusal::None;
      }
    }
    queued_.insert(ticket);
    loop_.Post([this, ticket, grant, aOnGrant] {
      if (queued_.erase(ticket) != 0) {
        if (grant.server_) {
          slotsInUse_.insert(ticket);
        }
        aOnGrant(grant);
      }
    });
    return ticket;
  }
  void Cancel(Ticket aTicket) override { queued_.erase(aTicket); }
  void FirstByte(Ticket, Duration) override {}
  void TokensArrived(Ticket, Tokens) override {}
  void End(Ticket aTicket, AttemptEnd) override
  {
    unmatchedEnds_ += slotsInUse_.erase(aTicket) == 1 ? 0 : 1;
  }
  void ServerRefused(const ServerId&, bool) override { ++refusals_; }
  std::optional<Duration> HedgeDelay(const Service&) override
  {
    return hedgeDelay_;
  }
  bool TakeHedge(const Service&) override { return true; }
  bool TakeRetry(const Service&) override { return true; }

  std::vector<Server> servers_;
  std::optional<Duration> hedgeDelay_;
  // Tickets of slots in use, and number of calls of End for slots that were not
  // in use.
  std::set<Ticket> slotsInUse_;
  unsigned unmatchedEnds_ = 0;
  unsigned refusals_ = 0;

private:
  EventLoop& loop_;
  Ticket next_ = 1;
  std::set<Ticket> queued_;
};

} // namespace sycamoreward
