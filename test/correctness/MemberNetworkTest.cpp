// Tests membership over WebSocket connections on loopback.

#include "base/Clock.h"
#include "membership/MembershipTask.h"
#include "peer/WebSocketPeerNetwork.h"
#include "runtime/EventLoop.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kTimeout{ 20 };

struct Node
{
  Node(EventLoop& aLoop,
       const std::string& aName,
       std::uint64_t aIncarnation,
       std::uint16_t aPort)
    : network_(aLoop, OptionsFor(aPort), IdentityOf(aName, aIncarnation))
    , task_(aLoop, network_, network_.Self())
  {
    network_.OnIdentityMismatch(
      [this](const PeerIdentity& aExpected, const PeerIdentity& aActual) {
        task_.HandleIdentityMismatch(aExpected, aActual);
      });
    task_.OnNewIncarnation(
      [this](Incarnation aRaised) { network_.SetIncarnation(aRaised); });
  }

  static PeerNetworkOptions OptionsFor(std::uint16_t aPort)
  {
    PeerNetworkOptions options;
    options.listen_.port_ = aPort;
    return options;
  }

  static PeerIdentity IdentityOf(const std::string& aName,
                                 std::uint64_t aIncarnation)
  {
    PeerIdentity identity;
    identity.instance_ = InstanceId(aName);
    identity.incarnation_ = Incarnation(aIncarnation);
    identity.failureDomain_ = FailureDomainId("fd");
    return identity;
  }

  // Returns the incarnation of aName in the member list of this node, or 0 when
  // it is not listed as live.
  std::uint64_t LiveIncarnationOf(const std::string& aName) const
  {
    for (const Member& member : task_.Members().members_) {
      if (member.identity_.instance_.Value() == aName &&
          member.state_ == MemberState::Live) {
        return member.identity_.incarnation_.Value();
      }
    }
    return 0;
  }

  WebSocketPeerNetwork network_;
  MembershipTask task_;
};

} // namespace

// Guards against instances that fail to join through seeds of unknown
// incarnation, and against one that cannot rejoin after a restart at the same
// address.
Test(MemberNetwork, InstancesJoinAndRejoinAfterARestart)
{
  SystemClock clock;
  EventLoop loop(clock);
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<PeerIdentity> seeds;
  const auto start =
    [&](std::size_t aIndex, std::uint64_t aIncarnation, std::uint16_t aPort) {
      auto node = std::make_unique<Node>(
        loop, "i" + std::to_string(aIndex), aIncarnation, aPort);
      node->task_.SetSeeds(seeds);
      PeerIdentity self = node->network_.Self();
      self.incarnation_ = Incarnation(0);
      seeds.push_back(self);
      return node;
    };
  for (std::size_t index = 0; index < 6; ++index) {
    nodes.push_back(start(index, 10, 0));
  }
  const auto allReport = [&](std::size_t aOf, std::uint64_t aIncarnation) {
    const std::string name = "i" + std::to_string(aOf);
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& aNode) {
      return aNode->LiveIncarnationOf(name) == aIncarnation;
    });
  };
  cr_assert(loop.RunUntil(
    [&] {
      for (std::size_t index = 0; index < 6; ++index) {
        if (!allReport(index, 10)) {
          return false;
        }
      }
      return true;
    },
    kTimeout));
  const std::uint16_t port = nodes[3]->network_.BoundAddress().port_;
  nodes[3].reset();
  nodes[3] = start(3, 20, port);
  cr_assert(loop.RunUntil([&] { return allReport(3, 20); }, kTimeout));
  nodes[5]->task_.Leave();
  cr_assert(loop.RunUntil([&] { return allReport(5, 0); }, kTimeout));
}
