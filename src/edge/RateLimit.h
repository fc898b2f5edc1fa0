#pragma once

// Request rates that backend servers in need name for all instances together.
// A rate is divided among a few instances, each of which sends to the server
// only as often as its part allows. A server's capacity is thus used wherever
// requests arrive at one of these instances, and no instance has to ask another
// before it sends.

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "edge/BackendServer.h"

#include <optional>
#include <vector>

namespace sycamoreward::edge {

// What one instance may send to a limited server.
struct LimitPart
{
  // 0 if others have all parts.
  RequestRate rate_;
  // Requests that may be sent at once after a pause.
  double burst_ = 0;
};

// The limit of one server and this instance's part of it.
struct RateLimit
{
  // The rate for all instances together; unset while the server names none.
  std::optional<RequestRate> rate_;
  // When the answer came that told whether there is a limit, and when the last
  // answer came to any instance that named this one.
  MonotonicTime toldAt_;
  MonotonicTime confirmedAt_;
  // When a limit was last lifted; used to tell the others.
  MonotonicTime liftedAt_;
  LimitPart part_;
  // Requests that may be sent as of allowanceAt_. Negative after requests that
  // had to be sent beyond the part.
  double allowance_ = 0;
  MonotonicTime allowanceAt_;
};

// Records what an answer to this instance told of the limit. Returns whether
// the rate has changed.
bool
RecordLimit(RateLimit& aLimit,
            const std::optional<RequestRate>& aRate,
            MonotonicTime aNow);

// Records what another instance knows from an answer of aTime. Has no effect if
// this instance knows of a later answer. Returns whether the rate has changed.
bool
RecordRelayedLimit(RateLimit& aLimit,
                   const std::optional<RequestRate>& aRate,
                   MonotonicTime aTime,
                   MonotonicTime aNow);

// Lifts a limit that no answer has confirmed for long. Without this, an
// instance that sends nothing to the server and misses the news would keep it.
// Returns whether the rate has changed.
bool
LiftUnconfirmed(RateLimit& aLimit, MonotonicTime aNow);

// Sets what this instance may send.
void
SetPart(RateLimit& aLimit, const LimitPart& aPart, MonotonicTime aNow);

// Returns the rate that instances send to a server which names aRate: at least
// as often as is needed to find out that the limit has been lifted.
RequestRate
UsableRate(RequestRate aRate);

// Returns one of aCount equal parts of aRate.
LimitPart
EqualPart(RequestRate aRate, std::size_t aCount);

// Returns the part of aSelf in aRate of aServer. There are as many equal parts
// as leave each a burst of more than one request, at most one for each
// instance. All instances that know the same aInstances compute the same parts;
// none if no instances are known.
LimitPart
PartOf(RequestRate aRate,
       const ServerId& aServer,
       const std::vector<InstanceId>& aInstances,
       const InstanceId& aSelf);

// Returns whether the server may get a request now.
bool
MaySend(const RateLimit& aLimit, MonotonicTime aNow);

// Returns whether the server should get the next request although others are
// cheaper, because only its answer tells whether the limit still holds.
bool
IsDue(const RateLimit& aLimit, MonotonicTime aNow);

// Counts a request that is sent to the server.
void
CountSent(RateLimit& aLimit, MonotonicTime aNow);

} // namespace sycamoreward::edge
