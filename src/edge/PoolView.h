#pragma once

// What this instance knows of the servers of one service, and what it has sent
// to them. Placement and admission read it; the request path and the reports
// of other instances write it.

#include "base/Clock.h"
#include "edge/BackendServer.h"
#include "edge/CachedParts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sycamoreward::edge {

// A request that was sent to an engine and whose first event has not come.
struct UnreadPrompt
{
  double tokens_ = 0;
  // When the engine was expected to start and to finish reading it.
  MonotonicTime start_;
  MonotonicTime end_;
};

struct BackendView
{
  BackendServer server_;
  // Requests of this instance that run or wait there.
  std::uint32_t running_ = 0;
  std::map<std::uint64_t, UnreadPrompt> unread_;
  // When a first event last came from the server.
  MonotonicTime firstEventAt_;
  // A request can use a connection that is open already.
  bool hasIdleChannel_ = false;
  // The same of all other instances, from their reports.
  double peerUnreadTokens_ = 0;
  double peerRunning_ = 0;
  // When these were measured.
  MonotonicTime peerAt_;
  std::optional<ReportedLoad> load_;
  // Observed time to the first event as a multiple of the expected time.
  double slowness_ = 1;
  MonotonicTime slownessAt_;
  // Part of the recent requests that failed at the server, 0 to 1.
  double failureRate_ = 0;
  MonotonicTime failureAt_;
  // No connection could be made; others go first until then.
  MonotonicTime avoidUntil_;
  CachedParts parts_;
};

struct PoolView
{
  ServiceName service_;
  bool isEngine_ = false;
  std::uint32_t maxConnections_ = 64;
  std::uint64_t memoryTokens_ = 0;
  std::map<ServerId, BackendView> servers_;
  // Prompt tokens that an engine reads in a millisecond.
  double readRate_ = 0;
  // Usual time of a request at a server of a plain service, in milliseconds.
  double workMs_ = 0;
};

// Tokens that the engine still has to read, of all instances. What others have
// sent is read meanwhile, and they send more: with its age the figure goes over
// into aMean, the mean of the pool. Otherwise all instances with the same old
// figures would choose the same server.
double
UnreadTokens(const BackendView& aView, double aMean, MonotonicTime aNow);

// Mean over the servers of what other instances reported.
double
MeanPeerUnread(const PoolView& aPool);

// Tokens of this instance's requests only.
double
OwnUnreadTokens(const BackendView& aView, MonotonicTime aNow);

// Requests of all instances that run or wait at the server.
double
RunningRequests(const BackendView& aView);

// The failure rate and the slowness, with their age taken into account: old
// observations fade, so that a server that has recovered is tried again.
double
FailureRate(const BackendView& aView, MonotonicTime aNow);
double
Slowness(const BackendView& aView, MonotonicTime aNow);

// A server to which no connection could be made is left out for this time.
constexpr Duration kUnreachableBackoff = std::chrono::milliseconds(700);

// Counts a request that is sent to the server under the number aWork. aPrompt
// is empty for plain services.
void
RecordSent(BackendView& aView,
           std::uint64_t aWork,
           const std::optional<UnreadPrompt>& aPrompt,
           const std::vector<PromptPart>& aParts);

// The request has left the server.
void
RecordReleased(BackendView& aView, std::uint64_t aWork);

// Enters how a request ended at the server.
void
RecordResult(BackendView& aView, bool aFailed, MonotonicTime aNow);

// Enters the time to the first event against the expected one.
void
RecordFirstEvent(PoolView& aPool,
                 BackendView& aView,
                 std::uint64_t aWork,
                 MonotonicTime aSent,
                 MonotonicTime aNow);

// Enters the time that a plain request took.
void
RecordServiceTime(PoolView& aPool,
                  BackendView& aView,
                  Duration aTime,
                  MonotonicTime aNow);

} // namespace sycamoreward::edge
