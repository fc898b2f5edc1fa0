#pragma once

// Sends requests to a running deployment and judges their history: what the
// callers saw, what the backend servers ran and what the ledger says.

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
  // Stand-ins whose counters tell what ran.
  std::vector<Address> engines_;
  std::vector<Address> services_;
  // Tokens of the workspaces that ask for completions and for records.
  std::string completionToken_;
  std::string recordToken_;
  std::string queryService_;
  std::string reviewService_;
  std::string recordService_;
  unsigned queries_ = 30;
  unsigned reviews_ = 9;
  unsigned records_ = 9;
  unsigned reviewTokens_ = 300;
  // The requests are spread over this time.
  std::chrono::milliseconds spread_{ 3000 };
  // Falsifies the history before it is judged, to show that the judge sees it.
  std::optional<Violation> falsify_;
};

// Prints a table and the violations. Returns 0 when all requests were answered
// and there is no violation, else 1.
int
RunVerify(const VerifyOptions& aOptions);

} // namespace sycamoreward
