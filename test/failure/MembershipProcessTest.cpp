// The entry instances listed to callers by a deployment of six processes, when
// instances are killed, suspended, leave or lose their address.

#include "caller/RecordingCaller.h"
#include "support/Deployment.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <set>

using namespace sycamoreward;

namespace {

constexpr unsigned kEntries = 6;
constexpr unsigned kVictim = 1;
// Maximum times: a crash is detected after 7 to 8 s, and leaving is announced
// within 2 s.
constexpr int kDeathSeconds = 10;
constexpr int kLeaveSeconds = 2;

struct AddressFixture
{
  AddressFixture()
  {
    DeploymentOptions options;
    options.engines_ = 1;
    options.entries_ = kEntries;
    deployment_ = std::make_unique<Deployment>(options);
    cr_assert(deployment_->WaitFor([&] { return AllList(kVictim, {}); }, 20));
  }

  // Returns whether aEntry lists aAddress with the failure domain aDomain to
  // callers.
  bool Lists(unsigned aEntry,
             const Address& aAddress,
             const std::string& aDomain)
  {
    HttpClientRequest request;
    request.address_ = deployment_->CallerAddress(aEntry);
    request.target_ = "/v1/addresses";
    request.mayReuseConnection_ = false;
    const HttpClientReply reply = deployment_->Fetch(request);
    // A leaving instance accepts no connections.
    if (reply.end_ != HttpEnd::Complete) {
      return false;
    }
    const auto answer = nlohmann::json::parse(reply.body_);
    for (const auto& listed : answer.at("addresses")) {
      if (listed.at("address") == ToString(aAddress) &&
          listed.at("failureDomain") == aDomain) {
        return true;
      }
    }
    return false;
  }

  unsigned Count(const Address& aAddress,
                 const std::string& aDomain,
                 const std::set<unsigned>& aExcept)
  {
    unsigned count = 0;
    for (unsigned entry = 0; entry < deployment_->Entries(); ++entry) {
      count += aExcept.count(entry) == 0 && Lists(entry, aAddress, aDomain);
    }
    return count;
  }

  bool AllList(unsigned aOther, const std::set<unsigned>& aExcept)
  {
    return Count(deployment_->CallerAddress(aOther),
                 Deployment::FailureDomain(aOther),
                 aExcept) == deployment_->Entries() - aExcept.size();
  }

  bool NoneLists(unsigned aOther, const std::set<unsigned>& aExcept)
  {
    return Count(deployment_->CallerAddress(aOther),
                 Deployment::FailureDomain(aOther),
                 aExcept) == 0;
  }

  // Waits until no instance but kVictim lists kVictim, and prints the time.
  void ExpectUnlisted(const char* aCase, int aSeconds)
  {
    const auto begin = std::chrono::steady_clock::now();
    cr_assert(deployment_->WaitFor(
                [&] { return NoneLists(kVictim, { kVictim }); }, aSeconds),
              "%s",
              aCase);
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - begin);
    printf("removed from all address lists after %ld ms: %s\n",
           long(time.count()),
           aCase);
  }

  std::unique_ptr<Deployment> deployment_;
};

} // namespace

// Guards against callers that are directed to a dead instance for too long, and
// against a suspended instance that stays unlisted after it resumes.
Test(MembershipProcess, KilledAndSuspendedInstancesAreUnlisted)
{
  AddressFixture fixture;
  fixture.deployment_->Entry(kVictim).Suspend();
  fixture.ExpectUnlisted("frozen", kDeathSeconds);
  fixture.deployment_->Entry(kVictim).Resume();
  cr_assert(fixture.deployment_->WaitFor(
              [&] { return fixture.AllList(kVictim, {}); }, 15),
            "the instance did not come back");
  // A short suspension is refuted or not detected.
  fixture.deployment_->Entry(kVictim).Suspend();
  cr_assert_not(fixture.deployment_->WaitFor([] { return false; }, 4));
  fixture.deployment_->Entry(kVictim).Resume();
  cr_assert(fixture.deployment_->WaitFor(
              [&] { return fixture.AllList(kVictim, {}); }, 15),
            "the instance did not come back");
  fixture.deployment_->Entry(kVictim).Kill();
  fixture.ExpectUnlisted("killed", kDeathSeconds);
  cr_assert(fixture.AllList(0, { kVictim }));
}

// Guards against new callers being directed to a draining instance.
Test(MembershipProcess, LeavingInstanceIsUnlistedImmediately)
{
  AddressFixture fixture;
  Deployment& deployment = *fixture.deployment_;
  RecordingCaller caller(deployment.Loop(), deployment.Client(), kCallerToken);
  bool hasBegun = false;
  caller.OnData([&](const std::string&) { hasBegun = true; });
  // Keeps the instance running while it leaves.
  caller.Start(CompletionRequest(
    "long", kReviewService, 2000, { deployment.CallerAddress(kVictim) }));
  cr_assert(deployment.WaitFor([&] { return hasBegun; }, 20));
  deployment.Entry(kVictim).Terminate();
  fixture.ExpectUnlisted("leaving", kLeaveSeconds);
  cr_assert(fixture.NoneLists(kVictim, {}));
  cr_assert(deployment.WaitFor([&] { return caller.IsDone(); }, 30));
  cr_assert_eq(deployment.Entry(kVictim).WaitForExit(20), 0);
  cr_assert(fixture.NoneLists(kVictim, { kVictim }));
}

// Guards against identifying instances by address: another instance that reuses
// the ports of a dead one must neither keep it listed nor relist it later.
Test(MembershipProcess, InstanceAtAReusedAddressIsADifferentMember)
{
  AddressFixture fixture;
  Deployment& deployment = *fixture.deployment_;
  const Address callers = deployment.CallerAddress(kVictim);
  const Address peers = deployment.PeerAddress(kVictim);
  const std::string oldDomain = Deployment::FailureDomain(kVictim);
  const std::string newDomain = Deployment::FailureDomain(kEntries);
  deployment.Entry(kVictim).Kill();
  deployment.StartEntryAt(kEntries, callers, peers);
  cr_assert_neq(oldDomain, newDomain);
  const std::set<unsigned> dead{ kVictim };
  cr_assert(deployment.WaitFor(
              [&] { return fixture.Count(callers, oldDomain, dead) == 0; },
              kDeathSeconds),
            "the old instance is still listed");
  cr_assert(
    deployment.WaitFor(
      [&] { return fixture.Count(callers, newDomain, dead) == kEntries; },
      kDeathSeconds),
    "the new instance is not listed by all instances");
  cr_assert_not(
    deployment.WaitFor(
      [&] { return fixture.Count(callers, oldDomain, dead) > 0; }, 12),
    "the old instance is listed again");
}
