#pragma once

// Calls to the platform that one instance at a time makes.

#include "base/Ids.h"

#include <cstdint>
#include <functional>
#include <map>

namespace sycamoreward::edge {

// Proof that the caller holds the duty.
struct DutyHolder
{
  InstanceId instance_;
  FencingToken epoch_;
};

enum class CloudStatus
{
  Ok,
  // A later holder has called.
  Superseded,
  // The platform does not carry the call out; the caller may try again later.
  Refused,
  // It is not known whether the call was carried out, or will be.
  Unknown
};

struct UsageReport
{
  std::uint64_t window_ = 0;
  // Requests that began to run, by workspace.
  std::map<std::string, std::uint64_t> counts_;
};

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
