#pragma once

// Calls to the platform that only the holder of the duties makes.

#include "base/Ids.h"

#include <cstdint>
#include <functional>
#include <map>

namespace sycamoreward::edge {

// Identity of the caller as the holder of the duties, with its fencing token.
struct DutyHolder
{
  InstanceId instance_;
  FencingToken epoch_;
};

enum class CloudStatus
{
  Ok,
  // Rejected, because a later holder has called. For an order it may also mean
  // that the platform has no engines of the kind.
  Superseded,
  // The platform did not carry out the call. The caller may retry later.
  Refused,
  // It is unknown whether the call was carried out, or will be.
  Unknown
};

struct UsageReport
{
  std::uint64_t window_ = 0;
  // Requests that began to run, by workspace.
  std::map<std::string, std::uint64_t> counts_;
};

// Sets the number of engines of a kind that a service has in a failure domain.
struct EngineOrder
{
  ServiceName service_;
  FailureDomainId domain_;
  bool isReclaimable_ = false;
  std::uint32_t count_ = 0;
};

class Cloud
{
public:
  using OnReply = std::function<void(CloudStatus aStatus)>;

  virtual ~Cloud() = default;
  virtual void Send(const DutyHolder& aHolder,
                    const UsageReport& aReport,
                    OnReply aOnReply) = 0;
  virtual void Send(const DutyHolder& aHolder,
                    const EngineOrder& aOrder,
                    OnReply aOnReply) = 0;
};

} // namespace sycamoreward::edge
