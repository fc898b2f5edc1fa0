// Requests through real processes, from the caller to the backend server and
// back, without faults.

#include "support/Deployment.h"
#include "support/DeploymentHistory.h"
#include "support/RecordingCaller.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

// Guards against a request path that works in parts only: each entry instance
// serves each kind of request, and the ledger has each outcome.
Test(Serve, EachEntryInstanceServesEachKindOfRequest)
{
  Deployment deployment({});
  RecordingCaller caller(deployment.Loop(), deployment.Client(), kCallerToken);
  for (unsigned entry = 0; entry < deployment.Entries(); ++entry) {
    const std::vector<Address> addresses{ deployment.CallerAddress(entry) };
    const std::string suffix = "-" + std::to_string(entry);
    caller.Start(
      CompletionRequest("query" + suffix, kQueryService, 8, addresses));
    caller.Start(
      CompletionRequest("review" + suffix, kReviewService, 200, addresses));
    caller.Start(
      RecordRequest("certificate" + suffix, kCertificateService, addresses));
  }
  cr_assert(deployment.WaitFor([&] { return caller.IsDone(); }, 30));
  ExpectAllAnswered(deployment, caller);
}

// A key that is used twice gives the same answer and one run, at any instance.
Test(Serve, SameKeyAtTwoInstancesRunsOnce)
{
  Deployment deployment({});
  RecordingCaller first(deployment.Loop(), deployment.Client(), kCallerToken);
  RecordingCaller second(deployment.Loop(), deployment.Client(), kCallerToken);
  first.Start(RecordRequest(
    "certificate", kCertificateService, { deployment.CallerAddress(0) }));
  second.Start(RecordRequest(
    "certificate", kCertificateService, { deployment.CallerAddress(1) }));
  cr_assert(
    deployment.WaitFor([&] { return first.IsDone() && second.IsDone(); }, 30));
  ExpectAllAnswered(deployment, first);
  const auto& one = first.Histories()[0].replies_.back();
  const auto& other = second.Histories()[0].replies_.back();
  cr_assert_eq(one.status_, 200, "%d", one.status_);
  cr_assert_eq(other.status_, 200, "%d", other.status_);
  cr_assert_eq(one.answer_, other.answer_);
}

// An answer that no row of the ledger can hold is given again whole, at any
// instance; with the object store down, its first caller gets it all the same.
Test(Serve, LargeAnswerOfACertificateIsGivenAgainAtEachInstance)
{
  for (const bool isStoreDown : { false, true }) {
    DeploymentOptions options;
    options.engines_ = 0;
    Deployment deployment(options);
    CallerRequest request = RecordRequest(
      "large", kCertificateService, { deployment.CallerAddress(0) });
    // Each byte takes six in JSON.
    request.body_ = std::string(1200 * 1024, '\1');
    if (isStoreDown) {
      // The claim is made before the store fails.
      deployment.Post(
        deployment.ServiceAddress(0), "/faults", { { "delayMs", 700 } });
    }
    RecordingCaller first(deployment.Loop(), deployment.Client(), kCallerToken);
    first.Start(request);
    if (isStoreDown) {
      cr_assert(deployment.WaitFor(
        [&] {
          return deployment.Get(deployment.ServiceAddress(0), "/load")
                   .at("running") == 1;
        },
        30));
      deployment.Post(
        deployment.PlatformAddress(), "/faults", { { "storeDown", true } });
    }
    cr_assert(deployment.WaitFor([&] { return first.IsDone(); }, 30));
    const CallerReply one = first.Histories()[0].replies_.back();
    cr_assert_eq(one.status_, 200, "%d", one.status_);
    cr_assert_gt(one.answer_.size(), request.body_.size());
    if (isStoreDown) {
      // Until the instance has given up storing the answer.
      const auto end =
        deployment.Loop().GetClock().Now() + std::chrono::seconds(3);
      deployment.WaitFor(
        [&] { return deployment.Loop().GetClock().Now() >= end; }, 30);
    }
    deployment.Post(
      deployment.PlatformAddress(), "/faults", { { "storeDown", false } });
    ExpectAllAnswered(deployment, first);
    for (unsigned entry = 0; entry < deployment.Entries(); ++entry) {
      RecordingCaller again(
        deployment.Loop(), deployment.Client(), kCallerToken);
      request.addresses_ = { deployment.CallerAddress(entry) };
      again.Start(request);
      cr_assert(deployment.WaitFor([&] { return again.IsDone(); }, 30));
      const CallerReply other = again.Histories()[0].replies_.back();
      cr_assert_eq(other.status_ == 200, !isStoreDown, "%d", other.status_);
      cr_assert(isStoreDown || other.answer_ == one.answer_);
      ExpectNoViolations(deployment, again);
    }
  }
}
