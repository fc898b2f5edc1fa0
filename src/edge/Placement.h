#pragma once

// Chooses the server of a request: the one whose answer is expected to begin
// first, counting what the server still has to read, what it holds of the
// prompt, and how it has behaved lately.

#include "edge/PoolView.h"
#include "edge/WireCodec.h"

#include <set>
#include <vector>

namespace sycamoreward::edge {

struct PlacementQuery
{
  std::vector<PromptPart> parts_;
  // Prompt tokens of the whole request.
  double promptTokens_ = 0;
  FailureDomainId ownDomain_;
  // Servers that this request was sent to before.
  std::set<ServerId> tried_;
  // Instances that share the connections of a server.
  std::size_t instances_ = 1;
  MonotonicTime now_;
  // Random number from 0 to 1 that decides between equally good servers.
  double draw_ = 0;
  // Only these servers, when set. All that is sent to them is then known here.
  const std::set<ServerId>* candidates_ = nullptr;
  // Servers that are kept for short prompts, when set: the streams of short
  // requests last for seconds, and each long prompt makes them pause.
  const std::set<ServerId>* shortPromptServers_ = nullptr;
};

struct Placement
{
  ServerId server_;
  // Expected time until the answer begins, in milliseconds.
  double waitMs_ = 0;
  // Expected tokens that the engine has to read.
  double tokens_ = 0;
  // When the engine is expected to start and to finish reading.
  MonotonicTime readStart_;
  MonotonicTime readEnd_;
  // For the log: tokens unread, requests running and failure rate there.
  double unread_ = 0;
  double running_ = 0;
  double failureRate_ = 0;
};

// Whether streams that run beside the prompt hardly notice it.
bool
IsShortPrompt(double aTokens, double aReadRate);

// Servers to keep for short prompts while aRunning streams of them run on
// aServers: the reserved ones first, and at most half of all.
std::set<ServerId>
ChooseShortPromptServers(const PoolView& aPool,
                         const std::set<ServerId>& aServers,
                         std::size_t aRunning);

// Empty id when no server can take the request.
Placement
ChooseServer(const PoolView& aPool, const PlacementQuery& aQuery);

// The part that the requests of one session share; 0 without one.
std::uint64_t
SessionPart(const std::vector<PromptPart>& aParts);

// Tokens of the prompt that the server is expected not to hold. aRank is the
// place of the server in the rendezvous order of the session: other instances
// send the session to the first ones too. Without a meaning where all that is
// sent to the server is known.
double
UncachedTokens(const BackendView& aView,
               const PlacementQuery& aQuery,
               std::size_t aRank);

} // namespace sycamoreward::edge
