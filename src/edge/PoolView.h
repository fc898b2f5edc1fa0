#pragma once

// This instance's view of the servers of one service: their state and the
// requests that it has sent to them. Placement and admission read it; the
// request path and the reports of other instances update it.

#include "base/Clock.h"
#include "edge/BackendServer.h"
#include "edge/CachedParts.h"
#include "edge/RateLimit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sycamoreward::edge {

// The prompt of a request that was sent to an engine and has not produced its
// first event yet.
struct UnreadPrompt
{
  double tokens_ = 0;
  // When the engine was expected to start and to finish reading the prompt.
  MonotonicTime start_;
  MonotonicTime end_;
};

// State of one backend server.
struct BackendView
{
  BackendServer server_;
  // Requests of this instance that run or wait at the server.
  std::uint32_t running_ = 0;
  std::map<std::uint64_t, UnreadPrompt> unread_;
  // When the server last sent the first event of a request.
  MonotonicTime firstEventAt_;
  // An idle connection is available for the next request.
  bool hasIdleChannel_ = false;
  // Unread tokens and running requests of all other instances, from their
  // reports.
  double peerUnreadTokens_ = 0;
  double peerRunning_ = 0;
  // When the reported values were measured.
  MonotonicTime peerAt_;
  std::optional<ReportedLoad> load_;
  // Observed time to the first event, or of a plain request, as a multiple of
  // the expected time.
  double slowness_ = 1;
  MonotonicTime slownessAt_;
  // Fraction of recent requests that failed at the server, 0 to 1.
  double failureRate_ = 0;
  MonotonicTime failureAt_;
  // The server could not be reached; other servers are preferred until this
  // time.
  MonotonicTime avoidUntil_;
  CachedParts parts_;
  RateLimit limit_;
};

// The servers of one service and the estimates that they share.
struct PoolView
{
  ServiceName service_;
  bool isEngine_ = false;
  std::uint32_t maxConnections_ = 64;
  std::uint64_t memoryTokens_ = 0;
  std::map<ServerId, BackendView> servers_;
  // Estimated prompt tokens that an engine reads per millisecond.
  double readRate_ = 0;
  // Number of prompts that readRate_ was estimated from.
  double readRateCount_ = 0;
  // Estimated mean time of a request at a server of a plain service, in
  // milliseconds.
  double workMs_ = 0;
};

// Tokens that the engine still has to read for requests of all instances. The
// engine reads reported tokens and other instances send more after the report,
// so the reported value decays with its age towards aMean, the mean of the
// pool. Otherwise all instances with the same stale reports would choose the
// same server.
double
UnreadTokens(const BackendView& aView, double aMean, MonotonicTime aNow);

// Mean over the pool's servers of the unread tokens reported by other
// instances.
double
MeanPeerUnread(const PoolView& aPool);

// Tokens that the engine still has to read for requests of this instance only.
double
OwnUnreadTokens(const BackendView& aView, MonotonicTime aNow);

// Requests of all instances that run or wait at the server.
double
RunningRequests(const BackendView& aView);

// The failure rate and the slowness at aNow. Old observations decay, so that a
// server that has recovered is tried again.
double
FailureRate(const BackendView& aView, MonotonicTime aNow);
double
Slowness(const BackendView& aView, MonotonicTime aNow);

// A server that could not be reached is avoided for this time.
constexpr Duration kUnreachableBackoff = std::chrono::milliseconds(700);

// Counts a request that is sent to the server under the local number aWork.
// aPrompt is empty for plain services. aParts are marked as cached at the
// server.
void
RecordSent(BackendView& aView,
           std::uint64_t aWork,
           const std::optional<UnreadPrompt>& aPrompt,
           const std::vector<PromptPart>& aParts);

// Removes a request that has ended at the server.
void
RecordReleased(BackendView& aView, std::uint64_t aWork);

// Updates the failure rate with the result of a request.
void
RecordResult(BackendView& aView, bool aFailed, MonotonicTime aNow);

// Updates the slowness and the read rate with the time to the first event. Does
// nothing if the prompt is no longer unread.
void
RecordFirstEvent(PoolView& aPool,
                 BackendView& aView,
                 std::uint64_t aWork,
                 MonotonicTime aSent,
                 MonotonicTime aNow);

// Updates the slowness and the mean time with the time of a plain request.
void
RecordServiceTime(PoolView& aPool,
                  BackendView& aView,
                  Duration aTime,
                  MonotonicTime aNow);

} // namespace sycamoreward::edge
