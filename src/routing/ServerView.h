#pragma once

// State that this instance keeps about one backend server: the requests it has
// there, the last load report and observed latencies.

#include "routing/Scheduler.h"
#include "routing/Server.h"

#include <optional>

namespace sycamoreward {

// Maximum age of a server's last report that it accepts work; an older one no
// longer makes the server eligible. With a poll each second, a leaving server
// gets no new work after 3 s even if this instance is cut off from the instance
// list.
constexpr Duration kMaxAcceptanceAge = std::chrono::milliseconds(2500);

// Time during which a server that reported to be full gets no new work.
constexpr Duration kFullBackoff = std::chrono::milliseconds(100);

// View of one server; updated by the functions below.
struct ServerView
{
  Server server_;
  // Requests of this instance at the server, those of long work among them, and
  // their expected tokens. Requests of other instances show only in the load
  // reports.
  unsigned inFlight_ = 0;
  unsigned longInFlight_ = 0;
  Tokens tokensInFlight_;
  std::optional<LoadReport> report_;
  // Time at which the poll for report_ was sent, and inFlight_ when the report
  // was applied.
  MonotonicTime reportSent_{};
  unsigned inFlightAtReport_ = 0;
  // Send time of the latest poll to which the server replied that it accepts
  // work. Empty if it has since reported otherwise.
  std::optional<MonotonicTime> acceptingAsOf_;
  // Latest time at which the server announced that it is leaving.
  std::optional<MonotonicTime> leavingAsOf_;
  MonotonicTime fullUntil_{};
  // Exponential moving averages; 0 until the first observation.
  double tokenMicroseconds_ = 0;
  double firstByteMicroseconds_ = 0;
  // Latest time at which a request started, ended or produced a token.
  MonotonicTime lastProgress_{};
  // Set by DetectSlow. The weight is the server's speed relative to the pool's
  // median, from 0 to 1.
  bool isSlow_ = false;
  double weight_ = 1;
  MonotonicTime lastStart_{};
  // Set by DrawBorrowPermission: allows one long request beyond this instance's
  // share of the long slots.
  bool mayBorrowSlot_ = false;
};

// Applies a load report. aSent is the time at which the poll was sent, not the
// arrival of the reply, so that a slow reply does not look fresher than it is.
// A report older than the current one is ignored.
void
ApplyReport(ServerView& aView, const LoadReport& aReport, MonotonicTime aSent);

// Records that the server announced that it is leaving, or else that it is
// full.
void
RecordRefusal(ServerView& aView, bool aIsLeaving, MonotonicTime aNow);

// Whether the server accepts new work according to both its last report and the
// instance list.
bool
IsAccepting(const ServerView& aView, MonotonicTime aNow);

// Whether the server may be sent new work at aNow: it accepts work, and its
// backoff after reporting to be full has ended.
bool
IsEligible(const ServerView& aView, MonotonicTime aNow);

// Estimated number of requests of other instances at the server, from the last
// report. The estimate halves with each second of the report's age.
double
EstimatePeerLoad(const ServerView& aView, MonotonicTime aNow);

// As EstimatePeerLoad, but without the decay. Suited to long work, which
// outlasts the reports.
double
ReportedPeerLoad(const ServerView& aView);

// Estimated number of requests of all instances at the server.
double
EstimateLoad(const ServerView& aView, MonotonicTime aNow);

// Records the start of a request with the given expected tokens.
void
RecordStart(ServerView& aView,
            Tokens aExpected,
            bool aIsLong,
            MonotonicTime aNow);

void
RecordFirstByte(ServerView& aView, Duration aSinceSent, MonotonicTime aNow);

// Records aCount tokens of a request. aGap is the time since the request's
// previous tokens.
void
RecordTokens(ServerView& aView,
             Tokens aCount,
             Duration aGap,
             MonotonicTime aNow);

// Records the end of a request. aExpected is its latest estimate in tokens.
void
RecordEnd(ServerView& aView,
          Tokens aExpected,
          bool aIsLong,
          MonotonicTime aNow);

} // namespace sycamoreward
