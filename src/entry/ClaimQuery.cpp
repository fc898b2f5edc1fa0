#include "entry/ClaimQuery.h"

#include "requests/StatusQuery.h"

#include <memory>
#include <vector>

namespace sycamoreward {

namespace {

// Answers of the servers of one pool about one request.
struct PoolAnswers
{
  std::size_t open_ = 0;
  bool isDone_ = false;
  std::function<void(ServerAnswer)> onAnswer_;
};

void
TakeAnswer(PoolAnswers& aAnswers, const StatusAnswer& aAnswer)
{
  --aAnswers.open_;
  if (aAnswers.isDone_) {
    return;
  }
  if (aAnswer.ran_ == Ran::Ran) {
    aAnswers.isDone_ = true;
    aAnswers.onAnswer_(ServerAnswer{ ServerWord::Ran, aAnswer.reply_ });
  } else if (aAnswers.open_ == 0) {
    aAnswers.isDone_ = true;
    aAnswers.onAnswer_(ServerAnswer{});
  }
}

std::vector<Server>
ServersOf(const RequestContext& aContext, const PoolName& aPool)
{
  std::vector<Server> servers;
  for (const Server& server : aContext.servers_.Servers()) {
    if (server.pool_ == aPool) {
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
    const auto servers = canAsk ? ServersOf(aContext, service->second.pool_)
                                : std::vector<Server>();
    if (servers.empty()) {
      aContext.loop_.Post([aOnAnswer] { aOnAnswer(ServerAnswer{}); });
      return;
    }
    auto answers = std::make_shared<PoolAnswers>();
    answers->open_ = servers.size();
    answers->onAnswer_ = std::move(aOnAnswer);
    const std::string target =
      StatusTarget(service->second.statusPath_, aClaim.request_);
    for (const Server& server : servers) {
      AskWhetherRan(
        aContext, server.address_, target, [answers](const StatusAnswer& aOne) {
          TakeAnswer(*answers, aOne);
        });
    }
  };
}

} // namespace sycamoreward
