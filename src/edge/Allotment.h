#pragma once

// The allotment of a workspace, shared by all instances. Each instance keeps
// the same bucket: it takes its own use off at once and that of the others as
// their reports come.

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <map>

namespace sycamoreward::edge {

struct AllotmentPeer
{
  // Use of the peer since its start, as last reported.
  double used_ = 0;
  // Use in a second, for the time in which no report comes.
  double rate_ = 0;
  MonotonicTime heard_;
};

struct Allotment
{
  double rate_ = 0;
  double burst_ = 0;
  // Amount beyond the burst that the platform's tolerance allows.
  double tolerance_ = 0;
  // What can be taken now; from -burst to burst + tolerance.
  double level_ = 0;
  MonotonicTime at_;
  // Use of this instance since its start.
  double used_ = 0;
  std::map<InstanceId, AllotmentPeer> peers_;
};

// Sets the limits; the level is kept, within the new ones.
void
SetLimits(Allotment& aAllotment,
          double aRate,
          double aBurst,
          double aTolerance,
          MonotonicTime aNow);

// Takes aAmount. False, with no change, when the allotment is used up.
bool
TakeAllotment(Allotment& aAllotment, double aAmount, MonotonicTime aNow);

// Gives back what a request took that was not run.
void
ReturnAllotment(Allotment& aAllotment, double aAmount);

// Enters the use that a peer reports.
void
NotePeerUse(Allotment& aAllotment,
            const InstanceId& aPeer,
            double aUsed,
            MonotonicTime aNow);

// Time until aAmount can be taken.
Duration
TimeUntil(const Allotment& aAllotment, double aAmount, MonotonicTime aNow);

} // namespace sycamoreward::edge
