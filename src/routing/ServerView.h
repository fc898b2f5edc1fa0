#pragma once

// What this instance knows of one backend server: its own requests there, the
// last load report, and observed times.

#include "routing/Scheduler.h"
#include "routing/Server.h"

#include <optional>

namespace sycamoreward {

// New work goes only to a server whose last statement that it accepts work is
// at most this old. With a poll each second a leaving server gets no new work
// after 3 s, even when this instance is cut off from the list.
constexpr Duration kMaxAcceptanceAge = std::chrono::milliseconds(2500);

// Time without new work after a server said that it is full.
constexpr Duration kFullBackoff = std::chrono::milliseconds(100);

struct ServerView
{
  Server server_;
  // Requests of this instance at the server, and the tokens expected of them.
  // Other instances have requests there too; the load reports show those.
  unsigned inFlight_ = 0;
  unsigned longInFlight_ = 0;
  Tokens tokensInFlight_;
  std::optional<LoadReport> report_;
  // When the poll of report_ was sent, and the own requests at that time.
  MonotonicTime reportSent_{};
  unsigned inFlightAtReport_ = 0;
  // When the poll was sent to which the server last said that it accepts work.
  std::optional<MonotonicTime> acceptingAsOf_;
  // Last time that the server said that it leaves.
  std::optional<MonotonicTime> leavingAsOf_;
  MonotonicTime fullUntil_{};
  // Moving averages; 0 while nothing was observed.
  double tokenMicroseconds_ = 0;
  double firstByteMicroseconds_ = 0;
  // Last time that a request began, ended or gave a token.
  MonotonicTime lastProgress_{};
  // Set by DetectSlow: share in proportion to the pool's median, 0 to 1.
  bool isSlow_ = false;
  double weight_ = 1;
  MonotonicTime lastStart_{};
  // Set by DrawBorrowPermission: one more long request than this instance's
  // part of the slots is allowed.
  bool mayBorrowSlot_ = false;
};

// aSent is when the poll was sent, so that a slow reply can't make a statement
// look newer. A report that an earlier poll asked for is dropped.
void
ApplyReport(ServerView& aView, const LoadReport& aReport, MonotonicTime aSent);

void
RecordRefusal(ServerView& aView, bool aIsLeaving, MonotonicTime aNow);

// Whether the server accepts new work by its last statement and by the list.
bool
IsAccepting(const ServerView& aView, MonotonicTime aNow);

// Whether the server may get new work at aNow: it accepts work and did not just
// say that it is full.
bool
IsEligible(const ServerView& aView, MonotonicTime aNow);

// Requests of other instances at the server, by the last report. An older
// report counts less: its figure halves with each second of age.
double
EstimatePeerLoad(const ServerView& aView, MonotonicTime aNow);

// The same without regard to the age of the report. Long work outlasts it.
double
ReportedPeerLoad(const ServerView& aView);

// Requests at the server.
double
EstimateLoad(const ServerView& aView, MonotonicTime aNow);

void
RecordStart(ServerView& aView,
            Tokens aExpected,
            bool aIsLong,
            MonotonicTime aNow);

void
RecordFirstByte(ServerView& aView, Duration aSinceSent, MonotonicTime aNow);

// aGap is the time since the previous tokens of the same request.
void
RecordTokens(ServerView& aView,
             Tokens aCount,
             Duration aGap,
             MonotonicTime aNow);

void
RecordEnd(ServerView& aView,
          Tokens aExpected,
          bool aIsLong,
          MonotonicTime aNow);

} // namespace sycamoreward
