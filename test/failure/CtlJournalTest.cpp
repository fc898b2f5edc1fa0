// Runs the commands of sycamorewardctl that read the ledger against a
// deployment of real processes.

#include "caller/RecordingCaller.h"
#include "ledger/LogRow.h"
#include "ledger/Partition.h"
#include "store/DynamoTable.h"
#include "support/Deployment.h"
#include "support/DeploymentHistory.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

using namespace sycamoreward;

namespace {

struct CtlRun
{
  int exitCode_ = -1;
  std::string text_;
};

// Runs sycamorewardctl to its end; the deployment's processes keep running.
CtlRun
RunCtl(const std::string& aArguments)
{
  const std::string command =
    std::string(PROGRAM_DIRECTORY) + "/sycamorewardctl " + aArguments + " 2>&1";
  CtlRun run;
  FILE* pipe = popen(command.c_str(), "r");
  char part[512];
  while (std::fgets(part, sizeof part, pipe) != nullptr) {
    run.text_ += part;
  }
  run.exitCode_ = WEXITSTATUS(pclose(pipe));
  return run;
}

// Tampers with the first row of a partition by writing to the table directly.
void
ChangeFirstRow(Deployment& aDeployment, const LedgerPartition& aPartition)
{
  StoreOptions options;
  options.address_ = aDeployment.PlatformAddress();
  DynamoTable table(aDeployment.Client(), options);
  std::optional<ReadReply> rows;
  table.Query(PartitionName(aPartition), "", 1, [&](ReadReply aReply) {
    rows = std::move(aReply);
  });
  aDeployment.WaitFor([&] { return rows.has_value(); }, 10);
  RowWrite write;
  write.row_ = rows->rows_.at(0);
  write.row_.values_["entries"] += " ";
  std::optional<WriteResult> result;
  table.Write(
    { write }, "change", [&](WriteResult aResult) { result = aResult; });
  aDeployment.WaitFor([&] { return result.has_value(); }, 10);
  cr_assert(result == WriteResult::Committed);
}

} // namespace

// Guards against field names that differ between the program and the API, and
// against a journal check that does not detect a changed row.
Test(CtlJournal, ReadsRequestAndJournalFromRunningDeployment)
{
  DeploymentOptions options;
  options.engines_ = 0;
  Deployment deployment(options);
  RecordingCaller caller(deployment.Loop(), deployment.Client(), kCallerToken);
  const CallerRequest request = RecordRequest(
    "certificate", kCertificateService, { deployment.CallerAddress(0) });
  caller.Start(request);
  cr_assert(deployment.WaitFor([&] { return caller.IsDone(); }, 30));
  ExpectAllAnswered(deployment, caller);
  const RequestId id = caller.Histories()[0].replies_.back().request_;

  char path[] = "/tmp/sycamoreward-token-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << kCallerToken << "\n";
  const CtlRun shown =
    RunCtl("request " + id.Value() + " --token-file " + path + " --callers " +
           ToString(deployment.CallerAddress(1)));
  std::remove(path);
  cr_assert_eq(shown.exitCode_, 0, "%s", shown.text_.c_str());
  for (const std::string& part :
       { "request " + id.Value() + " to service certificate-issue",
         std::string("attempt 1 at desk-0: complete"),
         std::string("outcome completed"),
         std::string("evidence: reply of desk-0") }) {
    cr_assert(shown.text_.find(part) != std::string::npos,
              "\"%s\" does not contain \"%s\"",
              shown.text_.c_str(),
              part.c_str());
  }

  const std::string platform = ToString(deployment.PlatformAddress());
  const std::string verify = "journal verify --table " + platform +
                             " --object-store " + platform +
                             " --bucket journal --region ";
  const CtlRun intact = RunCtl(verify + Deployment::kRegion);
  cr_assert_eq(intact.exitCode_, 0, "%s", intact.text_.c_str());
  cr_assert_eq(RunCtl(verify + "elsewhere").exitCode_, 2);
  // Adds a second row, which holds the digest of the first one.
  RecordingCaller secondCaller(
    deployment.Loop(), deployment.Client(), kCallerToken);
  secondCaller.Start(request);
  cr_assert(deployment.WaitFor([&] { return secondCaller.IsDone(); }, 30));
  ChangeFirstRow(deployment, ParsePartition(id));
  const CtlRun broken = RunCtl(verify + Deployment::kRegion);
  cr_assert_eq(broken.exitCode_, 1, "%s", broken.text_.c_str());
  cr_assert(broken.text_.find("broken at row") != std::string::npos);
  deployment.Post(
    deployment.PlatformAddress(), "/faults", { { "storeDown", true } });
  cr_assert_eq(RunCtl(verify + Deployment::kRegion).exitCode_, 2);
}
