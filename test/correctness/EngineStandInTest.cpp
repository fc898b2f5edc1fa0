// Tests the properties of the engine stand-in that other tests rely on.

#include "engine/EngineStandIn.h"
#include "engine/Generate.h"
#include "runtime/HttpClient.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace sycamoreward;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

struct Fixture
{
  explicit Fixture(standin::EngineOptions aOptions = {})
    : engine_(loop_, std::move(aOptions), Address{ "127.0.0.1", 0 })
  {
  }

  SystemClock clock_;
  EventLoop loop_{ clock_ };
  standin::EngineStandIn engine_;
  HttpClient client_{ loop_ };

  HttpClientRequest Post(const std::string& aPath, const json& aBody) const
  {
    HttpClientRequest request;
    request.address_ = engine_.BoundAddress();
    request.method_ = HttpMethod::Post;
    request.target_ = aPath;
    request.body_ = aBody.dump();
    return request;
  }

  HttpClientReply Fetch(const HttpClientRequest& aRequest)
  {
    std::optional<HttpClientReply> reply;
    client_.Fetch(aRequest,
                  [&](HttpClientReply aReply) { reply = std::move(aReply); });
    loop_.RunUntil([&] { return reply.has_value(); }, kTimeout);
    cr_assert(reply.has_value(), "no end was reported for the call");
    return *reply;
  }

  json Get(const std::string& aPath)
  {
    HttpClientRequest request = Post(aPath, json::object());
    request.method_ = HttpMethod::Get;
    request.body_.clear();
    return json::parse(Fetch(request).body_);
  }
};

json
Prompt(const std::string& aPrompt, unsigned aMaxTokens)
{
  return { { "model", "m" },
           { "prompt", aPrompt },
           { "max_tokens", aMaxTokens },
           { "request_id", "r1" } };
}

// Returns the text of all events, or nothing if the stream did not end in
// [DONE].
std::string
StreamText(const std::string& aBody)
{
  std::string text;
  std::size_t at = 0;
  while ((at = aBody.find("data: ", at)) != std::string::npos) {
    const std::size_t end = aBody.find("\n\n", at);
    const std::string data = aBody.substr(at + 6, end - at - 6);
    if (data == "[DONE]") {
      return text;
    }
    const json event = json::parse(data);
    const json& choice = event["choices"][0];
    text += choice.contains("text") ? choice["text"].get<std::string>()
                                    : choice["delta"].value("content", "");
    at = end;
  }
  return "";
}

} // namespace

Test(EngineStandIn, AnswersMatchExpectedAnswer)
{
  Fixture fixture;
  json body = Prompt("Say [tokens=5] words", 20);
  const std::string expected =
    standin::ExpectedAnswer("Say [tokens=5] words", 20);
  const json whole =
    json::parse(fixture.Fetch(fixture.Post("/v1/completions", body)).body_);
  cr_assert_eq(whole["choices"][0]["text"].get<std::string>(), expected);
  cr_assert_eq(whole["choices"][0]["finish_reason"].get<std::string>(), "stop");
  body["stream"] = true;
  const HttpClientReply streamed =
    fixture.Fetch(fixture.Post("/v1/completions", body));
  cr_assert_eq(StreamText(streamed.body_), expected);
}

// A resumed answer must continue at exactly the next token.
Test(EngineStandIn, ResumeContinuesAfterTheDeliveredTokens)
{
  Fixture fixture;
  json body = Prompt("resume", 6);
  body["stream"] = true;
  body["attempt"] = 2;
  body["resume_tokens"] = { standin::TokenAt("resume", 0),
                            standin::TokenAt("resume", 1) };
  const HttpClientReply reply =
    fixture.Fetch(fixture.Post("/v1/completions", body));
  std::string rest;
  for (unsigned index = 2; index < 6; ++index) {
    rest += standin::TokenAt("resume", index);
  }
  cr_assert_eq(StreamText(reply.body_), rest);
  cr_assert_gt(fixture.engine_.Counters().tokensRecomputed_, 0);
}

Test(EngineStandIn, ClosingTheConnectionCancels)
{
  Fixture fixture;
  json body = Prompt("long", 100000);
  body["stream"] = true;
  const auto call =
    fixture.client_.Start(fixture.Post("/v1/completions", body), {});
  fixture.loop_.RunUntil(
    [&] { return fixture.engine_.Counters().tokensComputed_ > 3; }, kTimeout);
  call->Cancel();
  cr_assert(fixture.loop_.RunUntil(
    [&] {
      const auto& requests = fixture.engine_.Counters().requests_;
      return requests.count("r1") != 0 && requests.at("r1").cancelled_ == 1;
    },
    kTimeout));
}

// Guards against a crash when a call is cancelled in the same event loop
// iteration that started it, when it has no connection yet.
Test(EngineStandIn, CallCancelledBeforeStartReachesNoEngine)
{
  Fixture fixture;
  const auto call =
    fixture.client_.Start(fixture.Post("/v1/completions", Prompt("p", 2)), {});
  call->Cancel();
  fixture.Get("/load");
  cr_assert(fixture.engine_.Counters().requests_.empty());
}

Test(EngineStandIn, LeavingEngineRefusesAsNotRun)
{
  Fixture fixture;
  fixture.engine_.SetFaults({ { "leaving", true } });
  const HttpClientReply reply =
    fixture.Fetch(fixture.Post("/v1/completions", Prompt("p", 2)));
  cr_assert_eq(reply.status_, 503);
  cr_assert_eq(FindHeader(reply.headers_, "Sycamoreward-Ran"), "not_run");
  const json load = fixture.Get("/load");
  cr_assert(load["leaving"].get<bool>());
  cr_assert_not(load["accepting"].get<bool>());
  cr_assert(fixture.engine_.Counters().requests_.empty());
}

Test(EngineStandIn, CutAnswerHasNoEnd)
{
  Fixture fixture;
  fixture.engine_.SetFaults({ { "cutAfterTokens", 3 } });
  json body = Prompt("cut", 10);
  body["stream"] = true;
  const HttpClientReply reply =
    fixture.Fetch(fixture.Post("/v1/completions", body));
  cr_assert_eq(reply.end_, HttpEnd::Broken);
  cr_assert_eq(StreamText(reply.body_), "");
}

Test(EngineStandIn, SuspendedEngineRepliesAfterResuming)
{
  Fixture fixture;
  fixture.engine_.SetFaults({ { "freeze", true } });
  HttpClientRequest request = fixture.Post("/v1/completions", Prompt("f", 2));
  request.silenceTimeout_ = std::chrono::milliseconds(50);
  cr_assert_eq(fixture.Fetch(request).end_, HttpEnd::Silent);
  fixture.engine_.SetFaults({ { "freeze", false } });
  cr_assert_eq(
    fixture.Fetch(fixture.Post("/v1/completions", Prompt("f", 2))).status_,
    200);
}

Test(EngineStandIn, CrashedEngineRefusesConnections)
{
  Fixture fixture;
  fixture.Fetch(fixture.Post("/faults", { { "die", true } }));
  fixture.loop_.RunReady();
  cr_assert_eq(
    fixture.Fetch(fixture.Post("/v1/completions", Prompt("d", 2))).end_,
    HttpEnd::NotConnected);
}

Test(EngineStandIn, ImportedRequestIsNotRecomputed)
{
  Fixture source;
  const std::string prompt(640, 'x');
  json body = Prompt(prompt, 100000);
  body["stream"] = true;
  source.client_.Start(source.Post("/v1/completions", body), {});
  source.loop_.RunUntil(
    [&] { return source.engine_.Counters().tokensComputed_ > 3; }, kTimeout);
  const json kv = json::parse(
    source.Fetch(source.Post("/kv/export", { { "request_id", "r1" } })).body_);
  cr_assert_gt(kv["bytes"].get<std::uint64_t>(), 0);
  Fixture target;
  target.Fetch(target.Post("/kv/import", kv));
  body["max_tokens"] = 5;
  body["attempt"] = 2;
  body["resume_tokens"] = { standin::TokenAt(prompt, 0) };
  target.Fetch(target.Post("/v1/completions", body));
  cr_assert_eq(target.engine_.Counters().tokensRecomputed_, 0);
}

Test(EngineStandIn, StaleFencingNumberIsRefusedOrIgnoredAsConfigured)
{
  for (const bool checks : { true, false }) {
    standin::EngineOptions options;
    options.checksFencing_ = checks;
    Fixture fixture(options);
    const json order{ { "fencing", 5 },
                      { "action", "change_role" },
                      { "role", "new" } };
    const json late{ { "fencing", 4 },
                     { "action", "change_role" },
                     { "role", "old" } };
    cr_assert_eq(fixture.Fetch(fixture.Post("/orders", order)).status_, 200);
    cr_assert_eq(fixture.Fetch(fixture.Post("/orders", late)).status_,
                 checks ? 409 : 200);
    cr_assert_eq(fixture.engine_.Orders().role_, checks ? "new" : "old");
  }
}
