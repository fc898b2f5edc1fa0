#pragma once

// Runs sycamorewardctl as a separate process against a deployment.

#include <string>
#include <vector>

namespace sycamoreward {

class Deployment;

struct CtlRun
{
  int exitCode_ = -1;
  std::string out_;
  std::string err_;
};

// Runs the command with aArguments, the operators' address of entry instance
// aEntry and the operator's token. Fails the test when the command does not end
// within 30 s.
CtlRun
RunCtlProcess(Deployment& aDeployment,
              unsigned aEntry,
              std::vector<std::string> aArguments);

} // namespace sycamoreward
