// The operators' API over HTTP, on one instance with an in-memory table.

#include "base/Clock.h"
#include "base/Digest.h"
#include "configuration/ConfigurationTask.h"
#include "operators/ResourceApi.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "runtime/HttpServer.h"
#include "support/FakePeerNetwork.h"
#include "support/MemoryTable.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

PeerIdentity
Self()
{
  PeerIdentity self;
  self.instance_ = InstanceId("one");
  self.incarnation_ = Incarnation(1);
  self.failureDomain_ = FailureDomainId("fd");
  return self;
}

std::vector<OperatorSettings>
Operators()
{
  OperatorSettings reader;
  reader.tokenDigest_ = Sha256Hex("read");
  reader.role_ = OperatorRole::Reader;
  OperatorSettings writer;
  writer.tokenDigest_ = Sha256Hex("write");
  writer.role_ = OperatorRole::Writer;
  return { reader, writer };
}

struct Reply
{
  int status_ = 0;
  Json body_;
};

struct Fixture
{
  Fixture()
  {
    configuration_.Start({});
    cr_assert(
      loop_.RunUntil([&] { return configuration_.IsReady(); }, kTimeout));
  }

  HttpClientRequest Make(HttpMethod aMethod,
                         const std::string& aTarget,
                         const std::string& aToken)
  {
    HttpClientRequest request;
    request.address_ = server_.BoundAddress();
    request.method_ = aMethod;
    request.target_ = "/apis/v1/" + aTarget;
    request.headers_ = { { "Authorization", "Bearer " + aToken } };
    return request;
  }

  Reply Call(HttpMethod aMethod,
             const std::string& aTarget,
             const std::string& aBody = "",
             const std::string& aToken = "write")
  {
    HttpClientRequest request = Make(aMethod, aTarget, aToken);
    request.body_ = aBody;
    std::optional<HttpClientReply> reply;
    client_.Fetch(request, [&](HttpClientReply aReply) { reply = aReply; });
    cr_assert(loop_.RunUntil([&] { return reply.has_value(); }, kTimeout));
    return { reply->status_, Json::parse(reply->body_, nullptr, false) };
  }

  SystemClock clock_;
  EventLoop loop_{ clock_ };
  FakePeerHub hub_{ loop_ };
  MemoryTable table_;
  FakePeerNetwork network_{ hub_, Self() };
  MembershipTask membership_{ loop_, network_, Self() };
  FeedExchange feeds_{ network_ };
  unsigned tokens_ = 0;
  ConfigurationStore store_{ loop_, table_, [this] {
                              return std::to_string(++tokens_);
                            } };
  ConfigurationTask configuration_{ loop_, store_, feeds_, membership_ };
  ResourceApi api_{ loop_, configuration_, store_, Operators() };
  HttpServer server_{ loop_,
                      {},
                      [this](std::shared_ptr<HttpExchange> aExchange) {
                        api_.Handle(aExchange);
                      } };
  HttpClient client_{ loop_ };
};

std::string
WorkspaceText(const std::string& aName,
              const std::string& aVersion,
              const Json& aShare = 1)
{
  return Json{
    { "kind", "Workspace" },
    { "metadata", { { "name", aName }, { "resourceVersion", aVersion } } },
    { "spec",
      { { "share", aShare }, { "tokenDigests", { std::string(64, 'a') } } } }
  }.dump();
}

} // namespace

// Guards against changes by operators without the writer role.
Test(OperatorsApi, TokensAndRolesAreChecked)
{
  Fixture fixture;
  const std::string target = "Workspace/a";
  const std::string text = WorkspaceText("a", "0");
  cr_assert_eq(fixture.Call(HttpMethod::Get, "Workspace", "", "x").status_,
               401);
  cr_assert_eq(fixture.Call(HttpMethod::Get, "Workspace", "", "").status_, 401);
  cr_assert_eq(fixture.Call(HttpMethod::Get, "Workspace", "", "read").status_,
               200);
  cr_assert_eq(fixture.Call(HttpMethod::Put, target, text, "read").status_,
               403);
  cr_assert_eq(fixture.Call(HttpMethod::Delete, target, "", "read").status_,
               403);
  cr_assert_eq(fixture.table_.writes_, 0);
}

// Guards against an update that overwrites another operator's change.
Test(OperatorsApi, StaleVersionsAreRefused)
{
  Fixture fixture;
  const std::string target = "Workspace/a";
  cr_assert_eq(
    fixture.Call(HttpMethod::Put, target, WorkspaceText("a", "0")).status_,
    201);
  const Reply read = fixture.Call(HttpMethod::Get, target);
  cr_assert_eq(read.status_, 200);
  cr_assert_eq(read.body_["metadata"]["resourceVersion"], "1");
  cr_assert_eq(read.body_["status"]["inForce"]["fd"], 1);
  const std::string next = WorkspaceText("a", "1", 2);
  cr_assert_eq(
    fixture.Call(HttpMethod::Put, target + "?dryRun=true", next).status_, 200);
  cr_assert_eq(fixture.Call(HttpMethod::Put, target, next).status_, 200);
  for (const std::string query : { "", "?dryRun=true" }) {
    cr_assert_eq(fixture.Call(HttpMethod::Put, target + query, next).status_,
                 409);
  }
  cr_assert_eq(
    fixture.Call(HttpMethod::Delete, target + "?resourceVersion=1").status_,
    409);
  cr_assert_eq(fixture.Call(HttpMethod::Delete, target).status_, 200);
  cr_assert_eq(fixture.Call(HttpMethod::Get, target).status_, 404);
  cr_assert_eq(fixture.Call(HttpMethod::Delete, target).status_, 404);
}

// Guards against invalid documents that are accepted, and against replies that
// report only the first error.
Test(OperatorsApi, InvalidInputIsRefusedWithAllErrors)
{
  Fixture fixture;
  cr_assert_eq(fixture.Call(HttpMethod::Put, "Workspace/a", "{").status_, 400);
  Json document = Json::parse(WorkspaceText("a", "0", "many"));
  document["spec"]["unknown"] = 1;
  const Reply refused =
    fixture.Call(HttpMethod::Put, "Workspace/a", document.dump());
  cr_assert_eq(refused.status_, 422);
  cr_assert_eq(refused.body_["error"]["details"].size(), 2);
  cr_assert_eq(
    fixture.Call(HttpMethod::Put, "Workspace/b", WorkspaceText("a", "0"))
      .status_,
    422);
  cr_assert_eq(fixture.Call(HttpMethod::Get, "Nothing/a").status_, 404);
  cr_assert_eq(fixture.Call(HttpMethod::Put, "Workspace", "{}").status_, 405);
  cr_assert_eq(fixture.Call(HttpMethod::Get, "Workspace?watch=true").status_,
               400);
  fixture.table_.isDown_ = true;
  cr_assert_eq(
    fixture.Call(HttpMethod::Put, "Workspace/a", WorkspaceText("a", "0"))
      .status_,
    503);
}

// Guards against watches that miss, repeat or reorder changes.
Test(OperatorsApi, WatchesSeeEachChangeOnce)
{
  Fixture fixture;
  const auto put = [&](const char* aName, const char* aVersion) {
    return fixture
      .Call(HttpMethod::Put,
            std::string("Workspace/") + aName,
            WorkspaceText(aName, aVersion))
      .status_;
  };
  cr_assert_eq(put("a", "0"), 201);
  std::string lines;
  const auto call = fixture.client_.Start(
    fixture.Make(
      HttpMethod::Get, "Workspace?watch=true&resourceVersion=0", "read"),
    { {}, [&](std::string_view aData) { lines += aData; }, {} });
  cr_assert_eq(put("b", "0"), 201);
  cr_assert_eq(put("a", "1"), 200);
  cr_assert_eq(fixture.Call(HttpMethod::Delete, "Workspace/b").status_, 200);
  // The first bookmark follows all changes.
  cr_assert(fixture.loop_.RunUntil(
    [&] { return lines.find("BOOKMARK") != std::string::npos; }, kTimeout));
  std::string seen;
  std::size_t from = 0;
  while (lines.find('\n', from) != std::string::npos) {
    const std::size_t end = lines.find('\n', from);
    const Json event = Json::parse(lines.substr(from, end - from));
    const Json& metadata = event["object"]["metadata"];
    seen += event["type"].get<std::string>() + " " +
            metadata.value("name", "-") + " " +
            metadata["resourceVersion"].get<std::string>() + ";";
    from = end + 1;
  }
  cr_assert_eq(
    seen,
    std::string("ADDED a 1;ADDED b 2;MODIFIED a 3;DELETED b 4;BOOKMARK - 4;"));
  call->Cancel();
}

// Guards against a watch that silently skips changes that are no longer kept.
Test(OperatorsApi, WatchesFromDiscardedRevisionsAreRefused)
{
  Fixture fixture;
  // Another instance commits a change; this one loads it as a snapshot.
  MemoryTable& table = fixture.table_;
  ConfigurationStore other(fixture.loop_, table, [] { return "other"; });
  CommitRequest request;
  request.kind_ = ResourceKind::Workspace;
  request.name_ = "a";
  Workspace workspace;
  workspace.metadata_.name_ = "a";
  workspace.tokenDigests_ = { std::string(64, 'a') };
  request.resource_ = workspace;
  other.Commit(request, [](const CommitResult&) {});
  cr_assert(fixture.loop_.RunUntil(
    [&] { return fixture.configuration_.Current()->revision_ == Revision(1); },
    kTimeout));
  cr_assert_eq(
    fixture.Call(HttpMethod::Get, "Workspace?watch=true&resourceVersion=0")
      .status_,
    410);
}
