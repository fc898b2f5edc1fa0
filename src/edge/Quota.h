#pragma once

// The quota of a workspace: a token bucket that every instance replicates. An
// instance deducts its own use at once and the use of its peers when their
// reports arrive.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace sycamoreward::edge {

// An incarnation of an instance that sums up the use of its peers.
using AggregateSource = std::pair<InstanceId, Incarnation>;

// Use of a peer, or of the sum of all peers.
struct QuotaPeer
{
  // Use of the peer since its start, as last reported.
  double used_ = 0;
  // Use per second, smoothed over reports.
  double rate_ = 0;
  MonotonicTime lastReport_;
  // Whether this entry is the sum over many peers, which is reported about once
  // a second. Between reports its use is extrapolated at the last rate.
  bool isAggregate_ = false;
  // The instance that computed the sum. Sums of different instances cover
  // different reports, so they are not compared with each other.
  AggregateSource source_;
};

// Result of an attempt to consume quota.
enum class QuotaResult
{
  Consumed,
  // The quota is used up.
  Exhausted,
  // The quota has capacity left, but this instance has reached its local limit
  // or has too much unconfirmed use. An instance that receives all use reports
  // may grant more, or the others may confirm the use.
  LocallyLimited
};

// State of the quota of one workspace on one instance.
struct Quota
{
  double rate_ = 0;
  double burst_ = 0;
  // Amount beyond the burst that the platform's tolerance allows.
  double tolerance_ = 0;
  // Fraction of the quota that the instances in contact with each other may
  // use. The unreachable instances may use the rest in the meantime.
  double share_ = 1;
  // Amount that can be consumed now. It is negative after use that was reported
  // late, and at most burst + tolerance.
  double level_ = 0;
  MonotonicTime at_;
  // When this instance first knew the limits, and the lowest level that a peer
  // had reported by then.
  MonotonicTime startedAt_;
  std::optional<double> peerLevel_;
  // Whether the level is an assumption, because this instance has just started
  // and no other has told it the level.
  bool isLevelAssumed_ = false;
  // Amount that the instances in contact with each other can consume while the
  // share is below one. Kept apart from the level, so that only actual use
  // counts once all instances are in contact again.
  double shareLevel_ = 0;
  // Whether the local limit applies, and the amount that this instance alone
  // can consume now. The limit bounds a burst of one workspace while the
  // reports of many instances are in flight; it is not used with few instances.
  bool isLocallyLimited_ = false;
  double localLevel_ = 0;
  // Amount that this instance can still grant to others beyond their local
  // limits.
  double grantLevel_ = 0;
  // Number of instances among which requests are spread.
  double instances_ = 1;
  // Use of this instance since its start, and how much of it all others in
  // contact know.
  double used_ = 0;
  double confirmedUse_ = 0;
  // Whether the others have to confirm the use, and the amount that this
  // instance can consume before they confirm more. It bounds what partitioned
  // instances consume without knowing of each other.
  bool needsConfirmation_ = false;
  double unconfirmedLevel_ = 0;
  std::map<InstanceId, QuotaPeer> peers_;
  // When a peer or a sum of peers last reported.
  MonotonicTime lastReport_;
};

// Sets the limits: aRate per second, the others as amounts. The level of a new
// quota starts full; an existing level is clamped to the new limits.
void
SetLimits(Quota& aQuota,
          double aRate,
          double aBurst,
          double aTolerance,
          MonotonicTime aNow);

// Assumes that a new quota is used up until a peer tells its level. An instance
// that has just started does not know the use of its predecessor and its peers.
void
AssumeUsedUp(Quota& aQuota);

// Undoes AssumeUsedUp.
void
AssumeUnused(Quota& aQuota);

// The part of the quotas that one instance may consume.
struct QuotaShare
{
  // Fraction that the instances in contact with each other may use; 0 while the
  // other instances are unknown.
  double share_ = 1;
  std::size_t instances_ = 1;
  bool isLocallyLimited_ = false;
  bool needsConfirmation_ = false;
};

// Sets the fraction of the quota that aInstances in contact with each other may
// use. aIsLocallyLimited limits this instance on its own, for reports that
// arrive about a second late.
void
SetShare(Quota& aQuota,
         double aShare,
         std::size_t aInstances,
         bool aIsLocallyLimited,
         MonotonicTime aNow);

// Applies aShare.
void
SetShare(Quota& aQuota, const QuotaShare& aShare, MonotonicTime aNow);

// Records that all other instances in contact know the use up to aUsed.
void
ConfirmUse(Quota& aQuota, double aUsed, MonotonicTime aNow);

// Returns whether so much use is unconfirmed that it should be reported now.
bool
HasMuchUnconfirmedUse(const Quota& aQuota);

// Returns whether aAmount can be consumed at aNow.
bool
CanConsume(Quota& aQuota, double aAmount, MonotonicTime aNow);

// Consumes aAmount if the quota allows it, and deducts nothing otherwise.
QuotaResult
TryConsumeQuota(Quota& aQuota, double aAmount, MonotonicTime aNow);

// Consumes aAmount that another instance has granted.
void
ConsumeGranted(Quota& aQuota, double aAmount, MonotonicTime aNow);

// Returns whether another instance may consume aAmount beyond its local limit.
// Meant for an instance that receives all use about a second late: grants come
// from a bucket of their own, because the level falls only when the use is
// reported.
bool
GrantQuota(Quota& aQuota, double aAmount, MonotonicTime aNow);

// Refunds the quota that a request consumed which was not run.
void
RefundQuota(Quota& aQuota, double aAmount);

// Makes the total use of a peer that has restarted count from zero.
void
RestartPeerUse(Quota& aQuota, const InstanceId& aPeer);

// Records the total use that a peer reports. If aIsContinuous is false, there
// was a gap since its last report: the value only becomes the base of later
// differences.
void
RecordPeerUse(Quota& aQuota,
              const InstanceId& aPeer,
              double aUsed,
              bool aIsContinuous,
              MonotonicTime aNow);

// Applies the level that a peer has reported before any of its use was
// recorded. An instance that has just started does not know the use of the last
// seconds, so it takes the lowest level of its peers. Later levels are ignored.
void
RecordPeerLevel(Quota& aQuota,
                const InstanceId& aPeer,
                double aLevel,
                MonotonicTime aNow);

// Returns the level at aNow unless the quota is nearly unused, for instances
// that have just started.
std::optional<double>
LevelForPeers(const Quota& aQuota, MonotonicTime aNow);

// Records the use of all other instances as summed up by aSource.
void
RecordAggregateUse(Quota& aQuota,
                   const AggregateSource& aSource,
                   double aUsed,
                   MonotonicTime aNow);

// Returns the time until aAmount can be consumed, at most three seconds.
Duration
TimeUntil(const Quota& aQuota, double aAmount, MonotonicTime aNow);

} // namespace sycamoreward::edge
