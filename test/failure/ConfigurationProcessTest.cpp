// Configuration changes in a deployment of six entry instance processes in
// three failure domains, with a fault at each change.

#include "caller/RecordingCaller.h"
#include "support/ControlFixture.h"
#include "support/DeploymentHistory.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

constexpr unsigned kEntries = kFixtureEntries;
// Limit of property P7 within one region.
constexpr int kMaxDelaySeconds = 3;
// Instances of the failure domain in which faults are injected. Changes are
// made at instance 0, which is in another one.
constexpr unsigned kVictim = 1;
constexpr unsigned kVictimNeighbour = 4;

struct Fault
{
  const char* name_;
  // Called before the change, after its reply, and when the other instances
  // have the change.
  std::function<void(ControlFixture&)> before_;
  std::function<void(ControlFixture&)> after_;
  std::function<void(ControlFixture&)> repair_;
  // Instances that may get the change later than the limit.
  std::set<unsigned> exempt_;
};

const std::function<void(ControlFixture&)> kNoAction = [](ControlFixture&) {};

std::vector<Fault>
Faults()
{
  return {
    { "no fault", kNoAction, kNoAction, kNoAction, {} },
    { "committing instance killed",
      kNoAction,
      [](ControlFixture& aFixture) { aFixture.Kill(0); },
      [](ControlFixture& aFixture) { aFixture.Restart(0); },
      { 0 } },
    { "reader killed and restarted",
      [](ControlFixture& aFixture) { aFixture.Kill(kVictim); },
      [](ControlFixture& aFixture) { aFixture.Restart(kVictim); },
      kNoAction,
      { kVictim } },
    { "reader suspended",
      [](ControlFixture& aFixture) {
        aFixture.deployment_->Entry(kVictim).Suspend();
      },
      kNoAction,
      [](ControlFixture& aFixture) {
        aFixture.deployment_->Entry(kVictim).Resume();
      },
      { kVictim } },
    { "platform partitioned from a failure domain",
      [](ControlFixture& aFixture) {
        aFixture.links_[kVictim]->SetMode(LinkMode::Cut);
      },
      kNoAction,
      [](ControlFixture& aFixture) {
        aFixture.links_[kVictim]->SetMode(LinkMode::Pass);
      },
      {} },
    { "replies to writes lost",
      [](ControlFixture& aFixture) {
        aFixture.deployment_->Post(aFixture.deployment_->PlatformAddress(),
                                   "/faults",
                                   { { "loseWriteReplies", 2 } });
      },
      kNoAction,
      kNoAction,
      {} },
    // Must be last, because these instances are not restarted.
    { "failure domain reclaimed",
      [](ControlFixture& aFixture) {
        aFixture.deployment_->Notice(Deployment::EntryId(kVictim), 2);
        aFixture.deployment_->Notice(Deployment::EntryId(kVictimNeighbour), 2);
      },
      kNoAction,
      kNoAction,
      { kVictim, kVictimNeighbour } },
  };
}

// Records the events of a watch.
struct Watcher
{
  void Start(ControlFixture& aFixture,
             unsigned aEntry,
             const std::string& aAfter)
  {
    HttpClientRequest request;
    request.address_ = aFixture.deployment_->OperatorAddress(aEntry);
    request.target_ = "/apis/v1/Workspace?watch=true&resourceVersion=" + aAfter;
    request.headers_ = { { "Authorization",
                           std::string("Bearer ") + kOperatorToken } };
    request.mayReuseConnection_ = false;
    HttpCallbacks callbacks;
    callbacks.onHead_ = [this](int aStatus, const HttpHeaders&) {
      status_ = aStatus;
    };
    callbacks.onData_ = [this](std::string_view aData) { HandleData(aData); };
    callbacks.onEnd_ = [](HttpEnd) {};
    aFixture.deployment_->Client().Start(request, callbacks);
  }

  void HandleData(std::string_view aData)
  {
    text_ += aData;
    for (auto end = text_.find('\n'); end != std::string::npos;
         end = text_.find('\n')) {
      const Json event = Json::parse(text_.substr(0, end));
      text_.erase(0, end + 1);
      const std::string version =
        event["object"]["metadata"]["resourceVersion"];
      if (event["type"] == "BOOKMARK") {
        bookmark_ = std::stoull(version);
      } else {
        changes_.emplace_back(std::stoull(version),
                              event["object"]["spec"]["share"]);
      }
    }
  }

  int status_ = 0;
  std::string text_;
  std::uint64_t bookmark_ = 0;
  // Revision and share of each change.
  std::vector<std::pair<std::uint64_t, unsigned>> changes_;
};

} // namespace

// Guards property P7: fails when a committed change is late, missing or
// reverted on some instance.
Test(ConfigurationProcess, ChangeIsInForceEverywhereWithinThreeSeconds)
{
  ControlFixture fixture;
  std::set<unsigned> running{ 0, 1, 2, 3, 4, 5 };
  unsigned share = 10;
  for (const Fault& fault : Faults()) {
    fault.before_(fixture);
    const std::uint64_t revision = fixture.Change(0, ++share);
    const auto begin = std::chrono::steady_clock::now();
    fault.after_(fixture);
    std::set<unsigned> expected = running;
    for (const unsigned entry : fault.exempt_) {
      expected.erase(entry);
    }
    cr_assert(fixture.Wait([&] { return fixture.AllHave(expected, revision); },
                           kMaxDelaySeconds),
              "%s",
              fault.name_);
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - begin);
    printf("in force everywhere after %ld ms: %s\n",
           long(time.count()),
           fault.name_);
    fault.repair_(fixture);
    if (fault.exempt_.size() > 1) {
      running = expected;
    }
    cr_assert(fixture.Wait([&] { return fixture.AllHave(running, revision); }),
              "%s",
              fault.name_);
  }
}

// Guards against an instance that becomes ready with an old configuration, or
// never becomes ready, because it started while the table was down.
Test(ConfigurationProcess, RestartWhileTheStoreIsUnreachableKeepsTheRevision)
{
  ControlFixture fixture;
  const std::uint64_t revision = fixture.Change(0, 20);
  cr_assert(fixture.Wait([&] {
    return fixture.AllHave({ 0, 1, 2, 3, 4, 5 }, revision);
  }));
  const Address platform = fixture.deployment_->PlatformAddress();
  fixture.deployment_->Post(platform, "/faults", { { "storeDown", true } });
  for (const unsigned entry : { 5U, 0U }) {
    fixture.Kill(entry);
    fixture.Restart(entry);
    cr_assert(fixture.Wait([&] { return fixture.monitor_->IsReady(entry); }),
              "entry %u is not ready",
              entry);
  }
  fixture.deployment_->Post(platform, "/faults", { { "storeDown", false } });
  const std::uint64_t next = fixture.Change(5, 21);
  cr_assert_eq(next, revision + 1);
  cr_assert(fixture.Wait([&] {
    return fixture.AllHave({ 0, 1, 2, 3, 4, 5 }, next);
  }));
}

// Guards against a lost update among racing operators, and against a watch that
// misses, repeats or reorders a change.
Test(ConfigurationProcess, OneRacingOperatorWinsAndWatchesSeeEachChange)
{
  ControlFixture fixture;
  Json workspace = fixture.Read(1, "/apis/v1/Workspace/lab");
  const std::string start = workspace["metadata"]["resourceVersion"];
  std::vector<Watcher> watchers(kEntries);
  for (unsigned entry = 0; entry < kEntries; ++entry) {
    watchers[entry].Start(fixture, entry, start);
  }
  std::vector<std::pair<std::uint64_t, unsigned>> wins;
  for (unsigned round = 0; round < 8; ++round) {
    unsigned done = 0;
    unsigned won = 0;
    for (unsigned racer = 0; racer < 10; ++racer) {
      // The second half starts when the first change of the round is known.
      cr_assert(fixture.Wait([&] { return racer != 5 || won > 0; }));
      const unsigned share = 100 + 10 * round + racer;
      workspace["spec"]["share"] = share;
      fixture.Start(
        racer % kEntries,
        HttpMethod::Put,
        "/apis/v1/Workspace/lab",
        workspace,
        [&, share](const HttpClientReply& aReply) {
          ++done;
          if (aReply.status_ == 200) {
            ++won;
            const std::string version =
              Json::parse(aReply.body_)["metadata"]["resourceVersion"];
            wins.emplace_back(std::stoull(version), share);
          } else {
            cr_expect_eq(aReply.status_, 409, "%s", aReply.body_.c_str());
          }
        });
    }
    cr_assert(fixture.Wait([&] { return done == 10; }));
    cr_assert_eq(won, 1, "%u operators won round %u", won, round);
    workspace["metadata"]["resourceVersion"] =
      std::to_string(wins.back().first);
  }
  const std::uint64_t last = wins.back().first;
  for (const Watcher& watcher : watchers) {
    cr_assert(fixture.Wait([&] { return watcher.bookmark_ >= last; }));
    cr_assert(watcher.changes_ == wins);
  }
  // A restarted instance does not keep the changes made before.
  fixture.Kill(2);
  fixture.Restart(2);
  cr_assert(fixture.Wait([&] { return fixture.monitor_->IsReady(2); }));
  const auto old = fixture.Call(
    2, HttpMethod::Get, "/apis/v1/Workspace?watch=true&resourceVersion=1");
  cr_assert_eq(old.status_, 410, "%d", old.status_);
}

// Guards against streams that are cut short because their service is changed or
// deleted in the meantime.
Test(ConfigurationProcess, StreamsCompleteWhenTheirServiceIsDeleted)
{
  ControlFixture fixture;
  Deployment& deployment = *fixture.deployment_;
  RecordingCaller caller(deployment.Loop(), deployment.Client(), kCallerToken);
  std::set<std::string> begun;
  caller.OnData([&](const std::string& aName) { begun.insert(aName); });
  for (unsigned entry = 0; entry < kEntries; ++entry) {
    caller.Start(CompletionRequest("stream-" + std::to_string(entry),
                                   kReviewService,
                                   2000,
                                   { deployment.CallerAddress(entry) }));
  }
  cr_assert(fixture.Wait([&] { return begun.size() == kEntries; }));
  const std::string path = std::string("/apis/v1/Service/") + kReviewService;
  Json service = fixture.Read(3, path);
  service["spec"]["class"]["priority"] = 3;
  const std::set<unsigned> all{ 0, 1, 2, 3, 4, 5 };
  const auto put = fixture.Call(3, HttpMethod::Put, path, service);
  cr_assert_eq(put.status_, 200, "%s", put.body_.c_str());
  // A deletion expects the version that its instance knows.
  cr_assert(fixture.Wait(
    [&] { return fixture.AllHave(all, ControlFixture::RevisionIn(put)); },
    kMaxDelaySeconds));
  const auto reply = fixture.Call(4, HttpMethod::Delete, path);
  cr_assert_eq(reply.status_, 200, "%s", reply.body_.c_str());
  const std::uint64_t revision = ControlFixture::RevisionIn(reply);
  cr_assert(fixture.Wait(
    [&] {
      return fixture.AllHave({ 0, 1, 2, 3, 4, 5 }, revision);
    },
    kMaxDelaySeconds));
  cr_assert_not(caller.IsDone(), "the streams ended before the deletion");
  CallerRequest late = CompletionRequest(
    "late", kReviewService, 8, { deployment.CallerAddress(2) });
  late.maxTries_ = 1;
  late.triesAfterRefusal_ = false;
  RecordingCaller lateCaller(
    deployment.Loop(), deployment.Client(), kCallerToken);
  lateCaller.Start(late);
  cr_assert(
    fixture.Wait([&] { return caller.IsDone() && lateCaller.IsDone(); }));
  const int status = lateCaller.Histories()[0].replies_.back().status_;
  cr_assert_eq(status, 404, "%d", status);
  ExpectAllAnswered(deployment, caller);
}
