#pragma once

// Plans the handover for an announced reclaim: which running requests are
// handed over, in which order and to which instances.

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "membership/Member.h"

#include <vector>

namespace sycamoreward {

// A running request, as input to the plan.
struct HandoverCandidate
{
  RequestId request_;
  // Tokens computed so far, which would be lost.
  Tokens computed_;
  // Size of the handover message.
  Bytes size_;
  // Time until the request is expected to end by itself; 0 if unknown.
  Duration expectedEnd_{ 0 };
  // The request is unrepeatable and was already sent to a server, so it is kept
  // as long as possible.
  bool isSentUnrepeatable_ = false;
};

struct HandoverInput
{
  MemberList members_;
  // Time until the platform reclaims the instance.
  Duration remaining_{ 0 };
  // Time reserved for the last messages and their replies.
  Duration reserve_ = std::chrono::milliseconds(500);
  // Rate at which messages can be sent.
  Bytes bytesPerSecond_{ 50 * 1000 * 1000 };
  std::vector<HandoverCandidate> requests_;
};

struct HandoverStep
{
  RequestId request_;
  InstanceId successor_;
  // Delay until the message is sent.
  Duration delay_{ 0 };
};

struct HandoverPlan
{
  // In sending order.
  std::vector<HandoverStep> steps_;
  // Requests that are expected to end in time without a handover.
  std::vector<RequestId> finishing_;
  // Requests that can't be handed over for lack of a successor or of time.
  std::vector<RequestId> lost_;
};

// Returns the possible successors of this instance in order of preference: live
// members of other failure domains, then live members of its own. Excludes this
// instance and members that are suspect, leaving or dead.
std::vector<PeerIdentity>
ChooseSuccessors(const MemberList& aMembers);

// Hands over the requests with the most computed tokens per byte first.
// Unrepeatable requests that were already sent are kept until only the reserve
// is left.
HandoverPlan
PlanHandover(const HandoverInput& aInput);

} // namespace sycamoreward
