#pragma once

// Runs sycamorewardctl as a process against a deployment.

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

// The addresses of entry instance aEntry and the operator's token are added to
// aArguments. Fails the test when the command does not end.
CtlRun
RunCtlProcess(Deployment& aDeployment,
              unsigned aEntry,
              std::vector<std::string> aArguments);

} // namespace sycamoreward
