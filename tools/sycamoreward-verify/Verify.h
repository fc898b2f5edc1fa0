#pragma once

// Sends requests to a running deployment and checks their history: what the
// callers received, what the backend servers ran and what the ledger recorded.

#include "base/Address.h"
#include "verify/History.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

struct VerifyOptions
{
  std::vector<Address> entries_;
  // Stand-ins whose counters report the runs of each request.
  std::vector<Address> engines_;
  std::vector<Address> services_;
  // Tokens of the workspaces that send completion and record requests.
  std::string completionToken_;
  std::string recordToken_;
  std::string queryService_;
  std::string reviewService_;
  std::string recordService_;
  unsigned queries_ = 30;
  unsigned reviews_ = 9;
  unsigned records_ = 9;
  unsigned reviewTokens_ = 300;
  // Period over which the requests of each kind are started.
  std::chrono::milliseconds spread_{ 3000 };
  // Introduces this violation into the history before the check, to show that
  // the check detects it.
  std::optional<Violation> falsify_;
};

// Sends the requests, and prints a table of the answers and the violations.
// Returns 0 when all requests were answered and there is no violation, else 1.
int
RunVerify(const VerifyOptions& aOptions);

} // namespace sycamoreward
