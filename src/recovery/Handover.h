#pragma once

// Plan of an announced reclaim: which running requests are handed over, in
// which order and to whom.

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "membership/Member.h"

#include <vector>

namespace sycamoreward {

// A running request as the plan sees it.
struct HandoverCandidate
{
  RequestId request_;
  // Tokens computed so far, which would be lost.
  Tokens computed_;
  // Size of the handover message.
  Bytes size_;
  // Time after which the request is expected to end on its own.
  Duration expectedEnd_{ 0 };
  // An unrepeatable call that was sent: it stays as long as possible.
  bool isSentUnrepeatable_ = false;
};

struct HandoverInput
{
  MemberList members_;
  // Time until the instance is taken away.
  Duration remaining_{ 0 };
  // Time kept for the last messages and their replies.
  Duration reserve_ = std::chrono::milliseconds(500);
  // Rate at which messages can be sent.
  Bytes bytesPerSecond_{ 50 * 1000 * 1000 };
  std::vector<HandoverCandidate> requests_;
};

struct HandoverStep
{
  RequestId request_;
  InstanceId successor_;
  // How long to wait before the message is sent.
  Duration delay_{ 0 };
};

struct HandoverPlan
{
  // In the order in which they are sent.
  std::vector<HandoverStep> steps_;
  // Requests that end in time without a handover.
  std::vector<RequestId> finishing_;
  // Requests that no successor or no time is left for.
  std::vector<RequestId> lost_;
};

// Successors of this instance, best first: live members of other failure
// domains, then live ones of its own; never itself, suspect, leaving or dead
// ones.
std::vector<PeerIdentity>
ChooseSuccessors(const MemberList& aMembers);

// Requests with the most computed tokens per byte go first. Calls of
// unrepeatable requests that were sent stay until only the reserve is left.
HandoverPlan
PlanHandover(const HandoverInput& aInput);

} // namespace sycamoreward
