#include "entry/ClaimQuery.h"

#include "requests/StatusQuery.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace sycamoreward {

namespace {

// State of the status queries about one request.
struct PendingQuery
{
  // Servers that have not answered yet.
  std::size_t pending_ = 0;
  // Every server that may have received the request was asked, and all answers
  // so far say that the request did not run there.
  bool haveAllDenied_ = false;
  bool isDone_ = false;
  std::function<void(ServerAnswer)> onAnswer_;
};

void
HandleAnswer(PendingQuery& aQuery, const StatusAnswer& aAnswer)
{
  --aQuery.pending_;
  if (aQuery.isDone_) {
    return;
  }
  aQuery.haveAllDenied_ &= aAnswer.ran_ == Ran::NotRun;
  if (aAnswer.ran_ == Ran::Ran) {
    aQuery.isDone_ = true;
    aQuery.onAnswer_(ServerAnswer{ ExecutionStatus::Ran, aAnswer.reply_ });
  } else if (aQuery.pending_ == 0) {
    aQuery.isDone_ = true;
    const ExecutionStatus verdict = aQuery.haveAllDenied_
                                      ? ExecutionStatus::NotRun
                                      : ExecutionStatus::Unknown;
    aQuery.onAnswer_(ServerAnswer{ verdict, std::nullopt });
  }
}

// Returns the listed servers that may have received the request: those named in
// the claim, or all servers of the pool when it names none.
std::vector<Server>
CandidateServers(const RequestContext& aContext,
                 const PoolName& aPool,
                 const Claim& aClaim)
{
  std::vector<Server> servers;
  for (const Server& server : aContext.servers_.Servers()) {
    const bool isNamed =
      std::find(aClaim.servers_.begin(), aClaim.servers_.end(), server.id_) !=
      aClaim.servers_.end();
    if (isNamed || (aClaim.servers_.empty() && server.pool_ == aPool)) {
      servers.push_back(server);
    }
  }
  return servers;
}

} // namespace

ServerQuery
MakeClaimQuery(RequestContext& aContext)
{
  return [&aContext](const Claim& aClaim,
                     std::function<void(ServerAnswer)> aOnAnswer) {
    const auto configuration = aContext.configuration_.Current();
    const auto service = configuration->services_.find(aClaim.service_.Value());
    const bool canAsk = service != configuration->services_.end() &&
                        !service->second.statusPath_.empty();
    const auto servers =
      canAsk ? CandidateServers(aContext, service->second.pool_, aClaim)
             : std::vector<Server>();
    if (servers.empty()) {
      aContext.loop_.Post([aOnAnswer] { aOnAnswer(ServerAnswer{}); });
      return;
    }
    auto query = std::make_shared<PendingQuery>();
    query->pending_ = servers.size();
    // A named server that is no longer listed may have run the request.
    query->haveAllDenied_ =
      !aClaim.servers_.empty() && servers.size() == aClaim.servers_.size();
    query->onAnswer_ = std::move(aOnAnswer);
    const std::string target =
      StatusTarget(service->second.statusPath_, aClaim.request_);
    for (const Server& server : servers) {
      QueryWhetherRan(aContext,
                      server.address_,
                      target,
                      [query](const StatusAnswer& aAnswer) {
                        HandleAnswer(*query, aAnswer);
                      });
    }
  };
}

} // namespace sycamoreward
