#pragma once

// The quota of a workspace, shared by all instances. Each instance keeps
// the same bucket: it takes its own use off at once and that of the others as
// their reports come.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <utility>

namespace sycamoreward::edge {

// A start of an instance that adds the use of others up.
using AggregateSource = std::pair<InstanceId, Incarnation>;

struct QuotaPeer
{
  // Use of the peer since its start, as last reported.
  double used_ = 0;
  // Use in a second.
  double rate_ = 0;
  MonotonicTime lastReport_;
  // The sum of many peers, told about once a second: its use between reports is
  // taken off at its last rate.
  bool isAggregate_ = false;
  // The instance that added the sum up. Sums of others contain other reports
  // and are not compared with it.
  AggregateSource source_;
};

// Outcome of an attempt to take from a quota.
enum class QuotaResult
{
  Consumed,
  // The quota is used up.
  Exhausted,
  // The quota has room, but this instance has taken its part of it. An instance
  // that hears of all use may grant more.
  LocallyLimited
};

struct Quota
{
  double rate_ = 0;
  double burst_ = 0;
  // Amount beyond the burst that the platform's tolerance allows.
  double tolerance_ = 0;
  // Part of the quota that the instances which hear of each other may use:
  // the others may use the rest meanwhile.
  double share_ = 1;
  // What can be taken now; a debt after use that was told late, and at
  // most burst + tolerance.
  double level_ = 0;
  MonotonicTime at_;
  // What the instances that hear of each other can take while the share is
  // below one. Kept apart from the level: once all hear of each other again,
  // only what was used counts.
  double shareLevel_ = 0;
  // What this instance alone can take now. Bounds a burst of one workspace
  // while reports of many instances are under way; not used among few.
  bool isLocallyLimited_ = false;
  double localLevel_ = 0;
  // What this instance can still grant others beyond their local bounds.
  double grantLevel_ = 0;
  // Instances among which requests are spread.
  double instances_ = 1;
  // Use of this instance since its start.
  double used_ = 0;
  std::map<InstanceId, QuotaPeer> peers_;
};

// Sets the limits; the level is kept, within the new ones.
void
SetLimits(Quota& aQuota,
          double aRate,
          double aBurst,
          double aTolerance,
          MonotonicTime aNow);

// aInstances hear of each other. aIsLocallyLimited says whether they do so
// about a second late.
void
SetShare(Quota& aQuota,
         double aShare,
         std::size_t aInstances,
         bool aIsLocallyLimited,
         MonotonicTime aNow);

// Takes aAmount, or changes nothing.
QuotaResult
TryConsumeQuota(Quota& aQuota, double aAmount, MonotonicTime aNow);

// Takes aAmount that another instance has granted.
void
ConsumeGranted(Quota& aQuota, double aAmount, MonotonicTime aNow);

// Whether another instance may take aAmount beyond its local bound. For an
// instance that hears of all use about a second late: grants are bounded apart
// from the level, which falls when the use is reported.
bool
GrantQuota(Quota& aQuota, double aAmount, MonotonicTime aNow);

// Gives back what a request took that was not run.
void
RefundQuota(Quota& aQuota, double aAmount);

// Enters the use that a peer reports. With aIsContinuous false the report does
// not follow the last one closely: it only sets where the use counts from.
void
RecordPeerUse(Quota& aQuota,
              const InstanceId& aPeer,
              double aUsed,
              bool aIsContinuous,
              MonotonicTime aNow);

// Enters the use of all others as aSource has added it up.
void
RecordAggregateUse(Quota& aQuota,
                   const AggregateSource& aSource,
                   double aUsed,
                   MonotonicTime aNow);

// Time until aAmount can be taken.
Duration
TimeUntil(const Quota& aQuota, double aAmount, MonotonicTime aNow);

} // namespace sycamoreward::edge
