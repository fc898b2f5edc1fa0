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

// Guards against metrics that no part of the request path counts.
Test(Serve, MetricsShowWhatWasServed)
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
  const auto& one = first.Histories()[0].replies_.back();
  const auto& other = second.Histories()[0].replies_.back();
  cr_assert_eq(one.status_, 200, "%d", one.status_);
  cr_assert_eq(other.status_, 200, "%d", other.status_);
  cr_assert_eq(one.answer_, other.answer_);
}
