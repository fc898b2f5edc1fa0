// Queries to the servers of a claim about a request whose owner has terminated.

#include "entry/ClaimQuery.h"
#include "support/RequestFixture.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

struct StatusServer
{
  nlohmann::json status_;

  HttpServer::Handler Handler()
  {
    return [this](std::shared_ptr<HttpExchange> aExchange) {
      aExchange->Reply(200, {}, status_.dump());
    };
  }
};

struct QueryCase
{
  const char* first_;
  const char* second_;
  std::vector<std::string> named_;
  ExecutionStatus expected_;
};

} // namespace

// Guards against reporting a request as not run when a server that may have run
// it has not answered.
Test(ClaimQuery, NotRunRequiresDenialFromEachNamedServer)
{
  const char* const denied = R"({"ran":false})";
  const char* const ran = R"({"ran":true,"reply":"{}"})";
  const char* const silent = "{}";
  const QueryCase queryCases[] = {
    { denied, denied, { "first", "second" }, ExecutionStatus::NotRun },
    { denied, silent, { "first", "second" }, ExecutionStatus::Unknown },
    { denied, ran, { "first", "second" }, ExecutionStatus::Ran },
    { denied, ran, { "first" }, ExecutionStatus::NotRun },
    { denied, denied, { "first", "gone" }, ExecutionStatus::Unknown },
    { denied, denied, {}, ExecutionStatus::Unknown },
    { denied, ran, {}, ExecutionStatus::Ran }
  };
  for (const QueryCase& queryCase : queryCases) {
    RequestTestbed net;
    StatusServer first{ nlohmann::json::parse(queryCase.first_) };
    StatusServer second{ nlohmann::json::parse(queryCase.second_) };
    net.AddBackend("first", first.Handler());
    net.AddBackend("second", second.Handler());
    RequestFixture world(net, "entry");
    Claim claim;
    claim.request_ = RequestId("r.0.1");
    claim.service_ = ServiceName("desk");
    for (const std::string& name : queryCase.named_) {
      claim.servers_.emplace_back(name);
    }
    RequestContext context{
      net.loop_,         net.client_,          world.scheduler_,
      net.ledger_,       world.configuration_, world.servers_,
      world.membership_, world.peers_,         [] { return std::uint64_t(1); }
    };
    std::optional<ServerAnswer> answer;
    MakeClaimQuery(context)(
      claim, [&](ServerAnswer aAnswer) { answer = std::move(aAnswer); });
    net.AdvanceClockUntil([&] { return answer.has_value(); });
    cr_assert(answer->executionStatus_ == queryCase.expected_,
              "%s, %s, %zu named",
              queryCase.first_,
              queryCase.second_,
              queryCase.named_.size());
  }
}
