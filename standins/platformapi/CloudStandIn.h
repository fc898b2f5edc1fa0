#pragma once

// Stand-in for the platform calls that only one instance at a time may make.
// Records usage reports and orders, and checks their epochs.

#include "base/Address.h"
#include "http/CallerServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sycamoreward::standin {

class CloudStandIn
{
public:
  // Listens on an ephemeral port.
  explicit CloudStandIn(EventLoop& aLoop);

  Address BoundAddress() const { return server_->BoundAddress(); }

  struct Call
  {
    std::string subject_;
    std::string holder_;
    std::uint64_t epoch_ = 0;
    std::string body_;
  };
  // Accepted calls, in order.
  std::vector<Call> accepted_;
  // Descriptions of violations: windows for which two different reports were
  // accepted, and epochs used by two holders.
  std::vector<std::string> violations_;
  // Accepted usage counts, by window.
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> usage_;

private:
  void Handle(http::CallerExchange& aExchange);

  std::unique_ptr<http::CallerServer> server_;
  std::map<std::string, std::uint64_t> highest_;
  std::map<std::pair<std::string, std::uint64_t>, std::string> holders_;
};

} // namespace sycamoreward::standin
