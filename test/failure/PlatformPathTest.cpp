// End-to-end tests of the request path on the platform with real processes:
// what callers receive when backend servers, the store or an instance fail.
// Each test guards against an answer that is lost, duplicated, truncated, sent
// to the wrong caller or wrongly reported as not run.

#include "support/PlatformFixture.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include <csignal>
#include <sstream>

using namespace sycamoreward;
using standin::BackendFault;
using standin::BackendStandIn;

namespace {

constexpr double kStartTimeoutSeconds = 15;
constexpr double kAnswerTimeoutSeconds = 8;

std::shared_ptr<CallerRun>
AskAndWait(PlatformFixture& aWorld,
           const char* aPath,
           const std::string& aRequest,
           const char* aKey = PlatformFixture::kKey)
{
  auto run = aWorld.Ask(0, aPath, aRequest, aKey);
  cr_assert(
    aWorld.RunUntil([&] { return run->isDone_; }, kAnswerTimeoutSeconds));
  return run;
}

void
SetFault(PlatformFixture& aWorld, BackendFault aFault, int aCount)
{
  for (auto* list : { &aWorld.engines_, &aWorld.desks_ }) {
    for (auto& backend : *list) {
      backend->fault_ = aFault;
      backend->faultCount_ = aCount;
    }
  }
}

constexpr http::BodyEnd kStreamFramings[] = { http::BodyEnd::Close,
                                              http::BodyEnd::Chunked,
                                              http::BodyEnd::Length };
constexpr const char* kLineEnds[] = { "\n", "\r\n", "\r" };

void
SetFraming(PlatformFixture& aWorld,
           http::BodyEnd aFraming,
           const char* aLineEnd)
{
  for (auto& engine : aWorld.engines_) {
    engine->framing_ = aFraming;
    engine->lineEnd_ = aLineEnd;
  }
}

// Returns the last log line with the given event and request id, or with the
// event only if aRequest is empty. Returns null if there is none.
nlohmann::json
FindLogLine(PlatformFixture& aWorld,
            const std::string& aEvent,
            const std::string& aRequest)
{
  nlohmann::json found;
  const auto search = [&] {
    std::istringstream lines(aWorld.edges_[0]->Output());
    for (std::string text; std::getline(lines, text);) {
      auto line = nlohmann::json::parse(text, nullptr, false);
      if (line.is_object() && line.value("event", "") == aEvent &&
          (aRequest.empty() || line.value("request", "") == aRequest)) {
        found = std::move(line);
      }
    }
    return !found.is_null();
  };
  aWorld.RunUntil(search, 3);
  return found;
}

} // namespace

Test(PlatformPath, ServesEachRouteKindAndRemovesTheKey)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  const char* paths[] = { PlatformFixture::kResumable,
                          PlatformFixture::kStream,
                          PlatformFixture::kOnce,
                          PlatformFixture::kRepeatable };
  int number = 0;
  for (const char* path : paths) {
    const std::string id = "whole-" + std::to_string(++number);
    const auto run = AskAndWait(world, path, id);
    const int events = number <= 2 ? 6 : 0;
    cr_expect_eq(run->status_, 200);
    cr_expect(run->isWhole_);
    cr_expect_eq(run->body_, BackendStandIn::AnswerBody(id, events));
    cr_expect_eq(run->signature_, "sig-" + id);
    const auto runs = world.RunsOf(id);
    cr_assert_eq(runs.size(), 1);
    cr_expect_eq(runs[0].workspace_, "one");
    cr_expect_not(runs[0].hasKey_);
    cr_expect_eq(runs[0].body_, "body of " + id);
    cr_expect_eq(runs[0].target_, std::string(path));
  }
  cr_expect_eq(AskAndWait(world, "/none/a", "no-route")->status_, 404);
  cr_expect_eq(
    AskAndWait(world, PlatformFixture::kOnce, "no-key", "other")->status_, 401);
  cr_expect(world.RunsOf("no-key").empty());
}

Test(PlatformPath, ResumesAStreamAfterTheLastCompleteEvent)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  world.engines_[0]->fault_ = BackendFault::CutWithin;
  world.engines_[1]->fault_ = BackendFault::CutWithin;
  // Either engine may get the first attempt, so both are set to fail. The
  // faults are cleared before the retry.
  world.engines_[0]->faultCount_ = 1;
  world.engines_[1]->faultCount_ = 1;
  auto run = world.Ask(0, PlatformFixture::kResumable, "resume");
  cr_assert(world.RunUntil([&] { return !world.RunsOf("resume").empty(); }, 5));
  SetFault(world, BackendFault::None, -1);
  cr_assert(
    world.RunUntil([&] { return run->isDone_; }, kAnswerTimeoutSeconds));
  cr_expect(run->isWhole_);
  cr_expect_eq(run->body_, BackendStandIn::AnswerBody("resume", 6));
  const auto runs = world.RunsOf("resume");
  cr_assert_eq(runs.size(), 2);
  cr_expect(runs[0].lastEvent_ == "3" || runs[1].lastEvent_ == "3");
}

Test(PlatformPath, AbortsAStreamThatCannotBeResumed)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  SetFault(world, BackendFault::CutWithin, -1);
  const auto run = AskAndWait(world, PlatformFixture::kStream, "cut");
  cr_expect_not(run->isWhole_);
  cr_expect_eq(world.RunsOf("cut").size(), 1);
}

// Guards against a stream that breaks off and is framed as complete.
Test(PlatformPath, AStreamThatEndsInsideAnEventIsNotComplete)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  int number = 0;
  for (const http::BodyEnd framing : kStreamFramings) {
    for (const char* lineEnd : kLineEnds) {
      SetFraming(world, framing, lineEnd);
      SetFault(world, BackendFault::EndWithin, -1);
      const std::string id = "inside-" + std::to_string(++number);
      const auto run = AskAndWait(world, PlatformFixture::kStream, id);
      cr_expect_not(run->isWhole_, "%s", id.c_str());
      cr_expect_eq(world.RunsOf(id).size(), 1);
    }
  }
}

Test(PlatformPath, AStreamThatEndsInsideAnEventIsNotCompleteForHttp10)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  world.callerVersion_ = "HTTP/1.0";
  SetFraming(world, http::BodyEnd::Close, "\n");
  SetFault(world, BackendFault::EndWithin, -1);
  const auto run = AskAndWait(world, PlatformFixture::kStream, "inside-old");
  cr_expect_not(run->isWhole_);
}

Test(PlatformPath, AStreamThatEndsBeforeItsFirstEventIsNotComplete)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  for (const char* path :
       { PlatformFixture::kStream, PlatformFixture::kResumable }) {
    for (const http::BodyEnd framing : kStreamFramings) {
      SetFraming(world, framing, "\n");
      SetFault(world, BackendFault::EndBefore, -1);
      const auto run = AskAndWait(
        world, path, std::string("empty-") + http::ToText(framing) + path[1]);
      cr_expect_not(run->isWhole_, "%s", run->request_.c_str());
    }
  }
}

Test(PlatformPath, ResumesAStreamThatEndsInsideAnEvent)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  for (const http::BodyEnd framing : kStreamFramings) {
    SetFraming(world, framing, "\n");
    SetFault(world, BackendFault::EndWithin, 1);
    const std::string id = "resume-" + std::string(http::ToText(framing));
    auto run = world.Ask(0, PlatformFixture::kResumable, id);
    cr_assert(world.RunUntil([&] { return !world.RunsOf(id).empty(); }, 5));
    SetFault(world, BackendFault::None, -1);
    cr_assert(
      world.RunUntil([&] { return run->isDone_; }, kAnswerTimeoutSeconds));
    cr_expect(run->isWhole_, "%s", id.c_str());
    cr_expect_eq(run->body_, BackendStandIn::AnswerBody(id, 6));
    cr_expect_eq(world.RunsOf(id).size(), 2);
  }
}

// Guards against an error answer that is taken for a part of an event.
Test(PlatformPath, DeliversAnErrorOnAResumableRoute)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  SetFault(world, BackendFault::NotFound, -1);
  const auto run = AskAndWait(world, PlatformFixture::kResumable, "no-sheet");
  cr_expect_eq(run->status_, 404);
  cr_expect(run->isWhole_);
  cr_expect_eq(run->body_, "{\"error\":\"no such sheet\"}");
}

Test(PlatformPath, DeliversWholeStreamsOfAnyFramingAndLineEnd)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  int number = 0;
  for (const char* path :
       { PlatformFixture::kStream, PlatformFixture::kResumable }) {
    for (const http::BodyEnd framing : kStreamFramings) {
      for (const char* lineEnd : kLineEnds) {
        SetFraming(world, framing, lineEnd);
        const std::string id = "whole-" + std::to_string(++number);
        const auto run = AskAndWait(world, path, id);
        cr_expect(run->isWhole_, "%s", id.c_str());
        cr_expect_eq(run->body_, BackendStandIn::AnswerBody(id, 6, lineEnd));
      }
    }
  }
}

Test(PlatformPath, RunsAnUnrepeatableRequestOnce)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  for (const BackendFault fault : { BackendFault::CutBefore,
                                    BackendFault::CutWithin,
                                    BackendFault::Error }) {
    SetFault(world, fault, -1);
    const std::string id = "once-" + std::to_string(int(fault));
    const auto run = AskAndWait(world, PlatformFixture::kOnce, id);
    cr_expect(run->status_ == 502 || run->status_ == 500);
    cr_expect_eq(world.RunsOf(id).size(), 1);
  }
}

Test(PlatformPath, RetriesARepeatableRequest)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  for (const BackendFault fault : { BackendFault::CutBefore,
                                    BackendFault::CutWithin,
                                    BackendFault::Error }) {
    // Only one of the two servers fails, so a retry succeeds whichever server
    // is tried first.
    SetFault(world, BackendFault::None, -1);
    world.desks_[0]->fault_ = fault;
    const std::string id = "again-" + std::to_string(int(fault));
    const auto run = AskAndWait(world, PlatformFixture::kRepeatable, id);
    cr_expect_eq(run->status_, 200);
    cr_expect_eq(run->body_, BackendStandIn::AnswerBody(id, 0));
    cr_expect_leq(world.RunsOf(id).size(), 2);
  }
}

Test(PlatformPath, ReportsARefusedRequestAsNotRun)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  SetFault(world, BackendFault::NotRun, -1);
  const auto run = AskAndWait(world, PlatformFixture::kOnce, "refused");
  cr_expect_eq(run->status_, 503);
  cr_expect_not(run->retryAfter_.empty());
  cr_expect_neq(run->body_.find("not_run"), std::string::npos);
  cr_expect(world.RunsOf("refused").empty());
}

Test(PlatformPath, ReportsUnknownExecutionAtTheDeadline)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  SetFault(world, BackendFault::Silent, -1);
  const auto run = AskAndWait(world, PlatformFixture::kOnce, "late");
  cr_expect_eq(run->status_, 504);
  cr_expect_neq(run->body_.find("unknown"), std::string::npos);
}

Test(PlatformPath, SkipsDrainingServersAndServesWithoutAStore)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  world.ListBackend(*world.desks_[0], "draining");
  world.RunFor(0.6);
  const std::size_t before = world.desks_[0]->runs_.size();
  for (int number = 0; number < 10; ++number) {
    AskAndWait(
      world, PlatformFixture::kOnce, "drain-" + std::to_string(number));
  }
  cr_expect_eq(world.desks_[0]->runs_.size(), before);
  world.store_.faults_.isSilent_ = true;
  world.RunFor(3);
  cr_expect_eq(AskAndWait(world, PlatformFixture::kOnce, "no-store")->status_,
               200);
  // Entries that expired during the outage are kept for a while, so that the
  // servers can register again.
  world.store_.Remove("servers", "desk-1");
  world.store_.faults_.isSilent_ = false;
  world.RunFor(1);
  cr_expect_eq(AskAndWait(world, PlatformFixture::kOnce, "lapsed")->status_,
               200);
  cr_assert(world.RunUntil([&] { return false; }, 3.5) || true);
  cr_expect_eq(AskAndWait(world, PlatformFixture::kOnce, "gone")->status_, 503);
}

Test(PlatformPath, IgnoresOlderDeployments)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  world.PutDeployment(5, { "/extra/" });
  world.RunFor(1);
  cr_expect_eq(AskAndWait(world, "/extra/a", "extra")->status_, 200);
  world.PutDeployment(4);
  world.RunFor(1);
  cr_expect_eq(AskAndWait(world, "/extra/a", "still")->status_, 200);
}

// Guards against a change that is not in force because a lost one had the same
// revision.
Test(PlatformPath, AppliesARevisionThatComesAgainWithOtherContent)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  world.PutDeployment(5, { "/lost/" });
  world.RunFor(1);
  cr_expect_eq(AskAndWait(world, "/lost/a", "lost")->status_, 200);
  world.PutDeployment(5, { "/extra/" });
  world.RunFor(1);
  cr_expect_eq(AskAndWait(world, "/extra/a", "extra")->status_, 200);
  cr_expect_eq(AskAndWait(world, "/lost/a", "gone")->status_, 404);
}

Test(PlatformPath, DrainFinishesRunningRequestsAndRemovesTheAddress)
{
  PlatformFixtureOptions options;
  options.events_ = 200;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  const std::string addresses = "/sycamoreward/lookup?name=office.example";
  const Address other{ "127.0.0.1", world.Ports()[1].addresses_ };
  auto run = world.Ask(0, PlatformFixture::kStream, "leaving");
  cr_assert(world.RunUntil([&] { return !run->body_.empty(); }, 5));
  world.edges_[0]->Terminate();
  cr_assert(world.RunUntil(
    [&] {
      return world.Get(other, addresses)
               .find(ToString(world.CallerAddress(0))) == std::string::npos;
    },
    3));
  cr_assert(
    world.RunUntil([&] { return run->isDone_; }, kAnswerTimeoutSeconds));
  cr_expect(run->isWhole_);
  cr_expect_eq(run->body_, BackendStandIn::AnswerBody("leaving", 200));
}

Test(PlatformPath, ReportsUsageOncePerWindowAfterFailover)
{
  PlatformFixtureOptions options;
  options.edges_ = 3;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  int served = 0;
  const auto sendRequests = [&](double aSeconds) {
    const MonotonicTime end =
      world.clock_.Now() + Duration(Duration::rep(aSeconds * 1e6));
    while (world.clock_.Now() < end) {
      const auto run =
        world.Ask(1, PlatformFixture::kOnce, "use-" + std::to_string(served));
      cr_assert(
        world.RunUntil([&] { return run->isDone_; }, kAnswerTimeoutSeconds));
      served += run->status_ == 200 ? 1 : 0;
      world.RunFor(0.05);
    }
  };
  sendRequests(4);
  cr_assert_not(world.cloud_.accepted_.empty());
  // Kill the instance that made the last report.
  const std::string holder = world.cloud_.accepted_.back().holder_;
  const auto index = std::size_t(holder.back() - '0');
  if (index != 1) {
    world.edges_[index]->Kill();
  }
  sendRequests(6);
  world.RunFor(4);
  std::uint64_t reportedUsage = 0;
  for (const auto& [window, counts] : world.cloud_.usage_) {
    const auto found = counts.find("one");
    reportedUsage += found == counts.end() ? 0 : found->second;
  }
  cr_expect(world.cloud_.violations_.empty());
  cr_expect_eq(reportedUsage, std::uint64_t(served));
}

// Guards against usage that is reported twice with other counts, because the
// rows that fixed the first ones were lost with the store's last seconds.
Test(PlatformPath, ReportsUsageOnceWhenTheStoreReturnsFromACopy)
{
  PlatformFixtureOptions options;
  options.edges_ = 3;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  int sent = 0;
  std::size_t killed = world.edges_.size();
  const auto sendRequests = [&](double aSeconds) {
    const MonotonicTime end =
      world.clock_.Now() + Duration(Duration::rep(aSeconds * 1e6));
    while (world.clock_.Now() < end) {
      ++sent;
      const std::size_t edge = std::size_t(sent) % world.edges_.size();
      if (edge != killed) {
        const auto run = world.Ask(
          edge, PlatformFixture::kOnce, "use-" + std::to_string(sent));
        world.RunUntil([&] { return run->isDone_; }, kAnswerTimeoutSeconds);
      }
      world.RunFor(0.005);
    }
  };
  sendRequests(3);
  const auto copy = world.store_.MakeCopy();
  sendRequests(4);
  cr_assert_not(world.cloud_.accepted_.empty());
  const std::uint64_t lastEpoch = world.cloud_.accepted_.back().epoch_;
  const std::string holder = world.cloud_.accepted_.back().holder_;
  killed = std::size_t(holder.back() - '0');
  world.store_.Restore(copy);
  world.edges_[killed]->Kill();
  world.StartEdge(killed);
  sendRequests(10);
  for (const std::string& violation : world.cloud_.violations_) {
    cr_expect(false, "%s", violation.c_str());
  }
  cr_expect_gt(world.cloud_.accepted_.back().epoch_, lastEpoch);
}

// Guards against the loss of usage counts of windows that were not reported
// yet, because the instances kept them only in memory.
Test(PlatformPath, KeepsUsageWhenAllInstancesAreKilled)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  constexpr std::uint64_t kRequests = 12;
  for (std::uint64_t number = 0; number < kRequests; ++number) {
    AskAndWait(world, PlatformFixture::kOnce, "kept-" + std::to_string(number));
  }
  const auto reportedUsage = [&] {
    std::uint64_t sum = 0;
    for (const auto& [window, counts] : world.cloud_.usage_) {
      const auto found = counts.find("one");
      sum += found == counts.end() ? 0 : found->second;
    }
    return sum;
  };
  // The holder of the duty stores the counts with its next lease renewal.
  const auto storedUsage = [&] {
    std::uint64_t sum = 0;
    const auto rows = nlohmann::json::parse(
      world.store_.Value("duties", "usage"), nullptr, false);
    if (!rows.is_array()) {
      return sum;
    }
    for (const auto& entry : rows) {
      for (const auto& [window, counts] : entry.at("windows").items()) {
        sum += counts.value("one", std::uint64_t());
      }
    }
    return sum;
  };
  cr_assert(world.RunUntil(
    [&] { return storedUsage() + reportedUsage() >= kRequests; }, 5));
  for (const auto& edge : world.edges_) {
    edge->Kill();
  }
  for (std::size_t index = 0; index < world.edges_.size(); ++index) {
    world.StartEdge(index);
  }
  cr_expect(world.RunUntil([&] { return reportedUsage() >= kRequests; },
                           kStartTimeoutSeconds));
  cr_expect_eq(reportedUsage(), kRequests);
  cr_expect(world.cloud_.violations_.empty());
}

Test(PlatformPath, ServesItsMetrics)
{
  PlatformFixture world({});
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  const std::string metrics =
    world.Get({ "127.0.0.1", world.Ports()[0].metrics_ }, "/metrics");
  cr_expect_neq(metrics.find("sycamoreward_state"), std::string::npos);
  AskAndWait(world, PlatformFixture::kOnce, "counted");
  const std::string after =
    world.Get({ "127.0.0.1", world.Ports()[0].metrics_ }, "/metrics");
  cr_expect_neq(after.find("reason=\"completed\""), std::string::npos);
}

// The log alone must explain each of the three kinds of failed requests in
// docs/OPERATIONS.md.
Test(PlatformPath, LogsExplainARequestWhoseConnectionWasCut)
{
  PlatformFixtureOptions options;
  options.keepsLogs_ = true;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  SetFault(world, BackendFault::CutBefore, -1);
  AskAndWait(world, PlatformFixture::kOnce, "broken");
  const auto failed = FindLogLine(world, "attempt_failed", "broken");
  cr_assert(failed.is_object());
  const std::string server = failed.value("server", "");
  cr_expect_eq(server.compare(0, 5, "desk-"), 0);
  cr_expect(failed.contains("failure") && failed.contains("reused"));
  const auto end = FindLogLine(world, "request_end", "broken");
  cr_assert(end.is_object());
  cr_expect_eq(end.value("status", 0), 502);
  cr_expect_eq(end.value("runs", 0), 1);
}

Test(PlatformPath, LogsExplainARequestRefusedForOverload)
{
  PlatformFixtureOptions options;
  options.edges_ = 1;
  options.engines_ = 1;
  options.events_ = 2000;
  options.keepsLogs_ = true;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  std::vector<std::shared_ptr<CallerRun>> runs;
  runs.reserve(80);
  for (int number = 0; number < 80; ++number) {
    runs.push_back(world.Ask(
      0, PlatformFixture::kStream, "burst-" + std::to_string(number)));
  }
  std::shared_ptr<CallerRun> refused;
  cr_assert(world.RunUntil(
    [&] {
      for (const auto& run : runs) {
        if (run->status_ == 503) {
          refused = run;
        }
      }
      return refused != nullptr;
    },
    kAnswerTimeoutSeconds));
  cr_expect_not(refused->retryAfter_.empty());
  cr_expect(world.RunsOf(refused->request_).empty());
  const auto end = FindLogLine(world, "request_end", refused->request_);
  cr_assert(end.is_object());
  cr_expect_eq(end.value("outcome", ""), "overloaded");
  cr_expect_eq(end.value("runs", -1), 0);
  cr_expect_gt(end.value("expectedMs", 0.0), 0.0);
}

Test(PlatformPath, LogsExplainARequestFailedDuringAStoreOutage)
{
  PlatformFixtureOptions options;
  options.keepsLogs_ = true;
  PlatformFixture world(options);
  cr_assert(world.WaitReady(kStartTimeoutSeconds));
  // All servers of the service stop while the store is unavailable.
  world.store_.faults_.isSilent_ = true;
  world.RunFor(3);
  world.desks_.clear();
  AskAndWait(world, PlatformFixture::kOnce, "lost");
  const auto lost = FindLogLine(world, "store_lost", "");
  cr_assert(lost.is_object());
  cr_expect(lost.contains("table") && lost.contains("version"));
  const auto failed = FindLogLine(world, "attempt_failed", "lost");
  cr_assert(failed.is_object());
  cr_expect_eq(failed.value("failure", ""), "not_connected");
  const auto end = FindLogLine(world, "request_end", "lost");
  cr_assert(end.is_object());
  cr_expect_eq(end.value("status", 0), 503);
  cr_expect_eq(end.value("runs", -1), 0);
  world.store_.faults_.isSilent_ = false;
  cr_expect(FindLogLine(world, "store_regained", "").is_object());
}
