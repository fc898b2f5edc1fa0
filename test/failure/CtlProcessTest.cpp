// Runs the commands of sycamorewardctl against a deployment of real processes,
// with the resources of both examples.

#include "support/CtlProcess.h"
#include "support/Deployment.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

const std::string kExamples = std::string(SOURCE_DIRECTORY) + "/examples/";

struct Step
{
  std::vector<std::string> arguments_;
  int exitCode_ = 0;
  // Texts that the output must contain.
  std::vector<std::string> contains_;
};

bool
Contains(const std::string& aText, const std::string& aSubstring)
{
  return aText.find(aSubstring) != std::string::npos;
}

void
RunSteps(Deployment& aDeployment, const std::vector<Step>& aSteps)
{
  for (const Step& step : aSteps) {
    const CtlRun run = RunCtlProcess(aDeployment, 1, step.arguments_);
    std::string command;
    for (const std::string& argument : step.arguments_) {
      command += argument + " ";
    }
    cr_assert_eq(run.exitCode_,
                 step.exitCode_,
                 "%s exited with %d: %s%s",
                 command.c_str(),
                 run.exitCode_,
                 run.out_.c_str(),
                 run.err_.c_str());
    for (const std::string& text : step.contains_) {
      cr_assert(Contains(run.out_ + run.err_, text),
                "the output of %s does not contain \"%s\": %s%s",
                command.c_str(),
                text.c_str(),
                run.out_.c_str(),
                run.err_.c_str());
    }
  }
}

struct TemporaryDirectory
{
  TemporaryDirectory()
  {
    char pattern[] = "/tmp/sycamoreward-files-XXXXXX";
    path_ = mkdtemp(pattern);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }

  std::string path_;
};

} // namespace

// Guards against commands that work only against the fake server of CtlTest:
// dry run, apply, a second apply, diff, wait, prune and delete of a whole
// folder.
Test(CtlProcess, AppliesAndDeletesExamples)
{
  DeploymentOptions options;
  options.engines_ = 1;
  Deployment deployment(options);
  for (const char* office : { "lochgair", "nadi" }) {
    const std::string folder = kExamples + office;
    RunSteps(
      deployment,
      { { { "validate", "-f", folder }, 0, { "resources are right" } },
        { { "diff", "-f", folder }, 1, { "create RoutingPolicy/" } },
        { { "apply", "--dry-run", "-f", folder },
          0,
          { "RoutingPolicy/", "(dry run)" } },
        { { "diff", "-f", folder }, 1, {} },
        { { "apply", "--wait", "-f", folder },
          0,
          { "in force in 3 of 3 failure domains" } },
        { { "diff", "-f", folder }, 0, {} },
        { { "diff", "-o", "json", "-f", folder }, 0, { "unchanged" } },
        { { "apply", "--wait", "-f", folder }, 0, { "is unchanged" } } });
  }
  const Json before =
    deployment.Get(deployment.OperatorAddress(0), "/apis/v1/Service");
  RunSteps(deployment, { { { "apply", "-f", kExamples + "nadi" }, 0, {} } });
  const Json after =
    deployment.Get(deployment.OperatorAddress(1), "/apis/v1/Service");
  cr_assert_eq(before["metadata"]["resourceVersion"],
               after["metadata"]["resourceVersion"]);
  const std::string nadi = kExamples + "nadi";
  RunSteps(deployment,
           { { { "apply", "--prune", "--dry-run", "-f", nadi },
               0,
               { "Service/sheet-review deleted (dry run)" } },
             { { "get", "service", "sheet-review" }, 0, {} },
             { { "apply", "--prune", "--wait", "-f", nadi },
               0,
               { "Service/sheet-review deleted at revision" } },
             { { "get", "service", "sheet-review" }, 2, { "404" } },
             { { "diff", "--prune", "-f", nadi }, 0, {} },
             { { "delete", "--dry-run", "-f", nadi }, 0, { "(dry run)" } },
             { { "delete", "-f", nadi }, 0, { "Service/" } },
             { { "delete", "-f", nadi }, 0, { "is gone already" } } });
}

// Guards against unusable output of get, watch, explain and reference, and
// against errors without the documented exit code.
Test(CtlProcess, ShowsResourcesAndFields)
{
  DeploymentOptions options;
  options.engines_ = 1;
  Deployment deployment(options);
  const TemporaryDirectory folder;
  const std::string file = folder.path_ + "/desk.yaml";
  std::ofstream(file) << "kind: Service\nmetadata:\n  name: desk\nspec:\n"
                         "  type: plain\n  pool: certificate-desk\n"
                         "  region: scot-central\n  routes:\n"
                         "    - method: DELETE\n      pathPrefix: /old\n";
  const std::string wrong = folder.path_ + "/wrong.yml";
  RunSteps(
    deployment,
    { { { "apply", "--wait", "-f", file }, 0, { "created" } },
      { { "get", "services" }, 0, { "NAME", "sheet-review" } },
      { { "get", "service", "desk", "-o", "json" },
        0,
        { "\"method\": \"delete\"", "\"inForce\"" } },
      { { "get", "Service", "desk", "-o", "yaml" },
        0,
        { "method: delete", "type: plain" } },
      { { "get", "service", "none" }, 2, { "404" } },
      { { "get", "lease" }, 2, { "is unknown" } },
      // The deployment starts with four resources, so these are revisions 5
      // and 6.
      { { "watch", "service", "--since", "4", "--events", "1" },
        0,
        { "ADDED", "desk" } },
      { { "delete", "service", "desk" }, 0, { "deleted at revision 6" } },
      { { "watch", "service", "--since", "5", "--events", "1" },
        0,
        { "DELETED", "desk" } },
      { { "explain", "ModelVersion.spec.checksFencing" },
        0,
        { "default true" } },
      { { "explain", "settings" }, 0, { "fleet.leaseMs" } },
      { { "validate", "--settings", "-f", kExamples + "settings" },
        0,
        { "settings files are right" } },
      { { "get", "service", "-o", "xml" }, 2, { "table" } } });
  std::ofstream(wrong) << "kind: Service\nmetadata:\n  name: Desk\n";
  RunSteps(
    deployment,
    { { { "validate", "-f", wrong }, 2, { "wrong.yml:3: metadata.name" } },
      { { "apply", "-f", wrong }, 2, { "nothing was changed" } },
      { { "diff", "-f", wrong }, 2, {} } });
  const CtlRun reference = RunCtlProcess(deployment, 0, { "reference" });
  std::ifstream input(std::string(SOURCE_DIRECTORY) + "/docs/reference.md");
  const std::string page{ std::istreambuf_iterator<char>(input), {} };
  cr_assert_eq(reference.exitCode_, 0);
  cr_assert_eq(reference.out_, page);
}
