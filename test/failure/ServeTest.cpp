// Requests through real processes, from the caller to the backend server and
// back, without faults.

#include "caller/RecordingCaller.h"
#include "support/Deployment.h"
#include "support/DeploymentHistory.h"

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

// Guards against metrics that no part of the request path counts.
Test(Serve, MetricsCountServedRequests)
{
  DeploymentOptions options;
  options.entries_ = 1;
  Deployment deployment(options);
  RecordingCaller caller(deployment.Loop(), deployment.Client(), kCallerToken);
  caller.Start(CompletionRequest(
    "query", kQueryService, 8, { deployment.CallerAddress(0) }));
  cr_assert(deployment.WaitFor([&] { return caller.IsDone(); }, 30));
  HttpClientRequest request;
  request.address_ = deployment.OperatorAddress(0);
  request.target_ = "/metrics";
  const std::string text = deployment.Fetch(request).body_;
  const std::string service =
    std::string("{service=\"") + kQueryService + "\"}";
  for (const std::string& line :
       { "sycamoreward_tokens_total" + service + " 8",
         "sycamoreward_first_byte_seconds_count" + service + " 1",
         "sycamoreward_request_seconds_count" + service + " 1" }) {
    cr_assert(text.find(line + "\n") != std::string::npos,
              "%s is not in:\n%s",
              line.c_str(),
              text.c_str());
  }
  cr_assert(text.find("outcome=\"completed\"") != std::string::npos);
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
  const auto one = first.Histories()[0].replies_.back();
  const auto other = second.Histories()[0].replies_.back();
  cr_assert_eq(one.status_, 200, "%d", one.status_);
  cr_assert_eq(other.status_, 200, "%d", other.status_);
  cr_assert_eq(one.answer_, other.answer_);
}

// The record of an answer becomes durable after the reply. A key that is used
// again before that must get the answer and not be told to wait.
Test(Serve, KeyReusedImmediatelyGetsTheAnswer)
{
  Deployment deployment({});
  RecordingCaller first(deployment.Loop(), deployment.Client(), kCallerToken);
  RecordingCaller again(deployment.Loop(), deployment.Client(), kCallerToken);
  first.Start(RecordRequest(
    "certificate", kCertificateService, { deployment.CallerAddress(0) }));
  cr_assert(deployment.WaitFor([&] { return first.IsDone(); }, 30));
  for (unsigned entry = 0; entry < deployment.Entries(); ++entry) {
    again.Start(RecordRequest(
      "certificate", kCertificateService, { deployment.CallerAddress(entry) }));
  }
  cr_assert(deployment.WaitFor([&] { return again.IsDone(); }, 30));
  const std::string answer = first.Histories()[0].replies_.back().answer_;
  for (const CallerHistory& caller : again.Histories()) {
    cr_assert_eq(caller.replies_.size(), 1U, "the caller was told to wait");
    cr_assert_eq(caller.replies_[0].status_, 200);
    cr_assert_eq(caller.replies_[0].answer_, answer);
  }
}

// Guards against claims that don't fit the partition of a key that the system
// made, and against a second run when the caller comes back with that key.
Test(Serve, RequestWithoutKeyRunsOnceAndReturnsItsKey)
{
  Deployment deployment({});
  // Eight partitions: a misfit of key and partition shows in most of them.
  for (int number = 0; number < 8; ++number) {
    HttpClientRequest request;
    request.address_ = deployment.CallerAddress(0);
    request.method_ = HttpMethod::Post;
    request.target_ = "/services/certificate-issue/records";
    request.headers_ = { { "Authorization",
                           std::string("Bearer ") + kCallerToken } };
    request.body_ = "rod bank";
    const HttpClientReply first = deployment.Fetch(request);
    cr_assert_eq(first.status_, 200, "%s", first.body_.c_str());
    const std::string key = FindHeader(first.headers_, "Idempotency-Key");
    cr_assert(!key.empty());
    request.address_ = deployment.CallerAddress(1);
    request.headers_.emplace_back("Idempotency-Key", key);
    const HttpClientReply again = deployment.Fetch(request);
    cr_assert_eq(again.status_, 200, "%s", again.body_.c_str());
    cr_assert_eq(again.body_, first.body_);
  }
}

// An answer that no row of the ledger can hold is given again whole, at any
// instance; with the object store down, its first caller gets it all the same.
Test(Serve, LargeCertificateAnswerIsReplayedAtEachInstance)
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
      // Without the object store only the owner still has the answer.
      const bool isKept = !isStoreDown || entry == 0;
      cr_assert_eq(other.status_ == 200, isKept, "%d", other.status_);
      cr_assert(!isKept || other.answer_ == one.answer_);
      ExpectNoViolations(deployment, again);
    }
  }
}
