#pragma once

// Chooses the server for a request: the one whose answer is expected to begin
// first, given the tokens the server still has to read, the prompt parts it has
// cached, and its recent failures and slowness.

#include "edge/PoolView.h"
#include "edge/WireCodec.h"

#include <set>
#include <vector>

namespace sycamoreward::edge {

struct PlacementQuery
{
  std::vector<PromptPart> parts_;
  // Tokens of the whole prompt, cached or not.
  double promptTokens_ = 0;
  // Time within which the answer has its full value; 0 if it is not known.
  Duration objective_{ 0 };
  FailureDomainId ownDomain_;
  // Servers to which this request was already sent; they are not chosen again.
  std::set<ServerId> tried_;
  // Number of entry instances that share the connections of a server.
  std::size_t instances_ = 1;
  MonotonicTime now_;
  // Random number from 0 to 1 that breaks ties between equally good servers.
  double draw_ = 0;
  // If set, only these servers are considered. All requests to them are placed
  // by this instance, so its view of them is complete.
  const std::set<ServerId>* candidates_ = nullptr;
  // If set, servers reserved for short prompts: the streams of short requests
  // last for seconds, and reading a long prompt makes them pause.
  const std::set<ServerId>* shortPromptServers_ = nullptr;
};

// A chosen server and the estimates behind the choice.
struct Placement
{
  ServerId server_;
  // Expected time until the answer begins, in milliseconds.
  double waitMs_ = 0;
  // Prompt tokens that the engine is expected to read because they are not
  // cached.
  double tokens_ = 0;
  // When the engine is expected to start and to finish reading the prompt.
  MonotonicTime readStart_;
  MonotonicTime readEnd_;
  // For the log: unread tokens, running requests and failure rate of the
  // server.
  double unread_ = 0;
  double running_ = 0;
  double failureRate_ = 0;
};

// Whether the prompt is short enough that reading it hardly delays the streams
// running on the same engine. aReadRate is in tokens per millisecond.
bool
IsShortPrompt(double aTokens, double aReadRate);

// Chooses the servers of aServers to reserve for short prompts while aRunning
// requests with short prompts are running: first the servers that are not
// reclaimable, and at most half of all.
std::set<ServerId>
ChooseShortPromptServers(const PoolView& aPool,
                         const std::set<ServerId>& aServers,
                         std::size_t aRunning);

// Chooses a server for the request. The returned server id is empty when no
// server can take the request.
Placement
ChooseServer(const PoolView& aPool, const PlacementQuery& aQuery);

// Id of the last prompt part that the requests of one session share; 0 without
// one.
std::uint64_t
SessionPart(const std::vector<PromptPart>& aParts);

// Number of prompt tokens that the server is not expected to have cached. aRank
// is the server's rank in the rendezvous order of the session; other instances
// send the session to the first ranks too. aRank is ignored when candidates_ is
// set, since everything sent to those servers is known.
double
UncachedTokens(const BackendView& aView,
               const PlacementQuery& aQuery,
               std::size_t aRank);

} // namespace sycamoreward::edge
