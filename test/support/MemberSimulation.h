#pragma once

// Many membership tasks in one process, on a manual clock and a network that
// can be partitioned. Checks identities like the real network and counts the
// bytes of each message.

#include "membership/MembershipTask.h"
#include "peer/MessageCodec.h"
#include "peer/PeerNetwork.h"
#include "runtime/EventLoop.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamoreward {

class SimulatedNetwork;

struct SimulatedLinks
{
  std::map<InstanceId, SimulatedNetwork*> networks_;
  // Pairs of sender and receiver between which messages are lost.
  std::set<std::pair<InstanceId, InstanceId>> partitioned_;
  bool isCounting_ = false;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;

  void Count(const Message& aMessage)
  {
    if (isCounting_) {
      ++messages_;
      bytes_ += EncodeMessage(aMessage, 1'000'000).size();
    }
  }
};

class SimulatedNetwork final : public PeerNetwork
{
public:
  SimulatedNetwork(EventLoop& aLoop,
                   SimulatedLinks& aLinks,
                   const PeerIdentity& aSelf)
    : loop_(aLoop)
    , links_(aLinks)
    , self_(aSelf)
  {
    links_.networks_[self_.instance_] = this;
  }
  ~SimulatedNetwork() override { links_.networks_.erase(self_.instance_); }

  void Send(const PeerIdentity& aTo, Message aMessage) override
  {
    Call(aTo, std::move(aMessage), std::chrono::seconds(1), [](PeerReply) {});
  }

  void Call(const PeerIdentity& aTo,
            Message aMessage,
            Duration aTimeout,
            std::function<void(PeerReply)> aOnReply) override
  {
    links_.Count(aMessage);
    SimulatedNetwork* to = FindReachable(aTo);
    if (to == nullptr) {
      loop_.CallAfter(aTimeout, [onReply = std::move(aOnReply)] {
        onReply(PeerReply{ std::nullopt, "timeout" });
      });
      return;
    }
    if (aTo.incarnation_.Value() != 0 &&
        aTo.incarnation_ != to->self_.incarnation_) {
      loop_.Post([this, aTo, actual = to->self_, onReply = aOnReply] {
        task_->HandleIdentityMismatch(aTo, actual);
        onReply(PeerReply{ std::nullopt, "identity mismatch" });
      });
      return;
    }
    loop_.Post([this, to, message = std::move(aMessage), aOnReply] {
      to->handlers_[message.index()](
        self_, message, [this, to, aOnReply](const Message& aReply) {
          links_.Count(aReply);
          if (links_.partitioned_.count(
                { to->self_.instance_, self_.instance_ }) == 0) {
            loop_.Post([aOnReply, aReply] {
              aOnReply(PeerReply{ aReply, "" });
            });
          }
        });
    });
  }

  std::function<void()> OpenStream(const PeerIdentity&,
                                   Message,
                                   Duration,
                                   std::function<void(PeerReply)>) override
  {
    return [] {};
  }

  void ProbeOnNewConnection(const PeerIdentity& aTo,
                            Duration aTimeout,
                            std::function<void(bool)> aOnResult) override
  {
    const SimulatedNetwork* to = FindReachable(aTo);
    const bool isAlive =
      to != nullptr && to->self_.incarnation_ == aTo.incarnation_ &&
      links_.partitioned_.count({ aTo.instance_, self_.instance_ }) == 0;
    loop_.CallAfter(isAlive ? Duration(0) : aTimeout,
                    [isAlive, aOnResult] { aOnResult(isAlive); });
  }

  EventLoop& loop_;
  SimulatedLinks& links_;
  PeerIdentity self_;
  MembershipTask* task_ = nullptr;
  // False after the instance was killed: messages to it are lost.
  bool isUp_ = true;

protected:
  void SetHandler(std::size_t aType, Handler aHandler) override
  {
    handlers_.at(aType) = std::move(aHandler);
  }

private:
  // Returns the network of aTo, or null when messages to it are lost.
  SimulatedNetwork* FindReachable(const PeerIdentity& aTo) const
  {
    const auto found = links_.networks_.find(aTo.instance_);
    const bool isPartitioned =
      links_.partitioned_.count({ self_.instance_, aTo.instance_ }) != 0;
    return isPartitioned || found == links_.networks_.end() ||
               !found->second->isUp_
             ? nullptr
             : found->second;
  }

  std::array<Handler, std::variant_size_v<Message>> handlers_;
};

class MemberSimulation
{
public:
  struct Node
  {
    std::unique_ptr<SimulatedNetwork> network_;
    std::unique_ptr<MembershipTask> task_;
  };

  // Starts aCount instances in aDomains failure domains, with the first two as
  // seeds.
  MemberSimulation(std::size_t aCount, std::size_t aDomains)
  {
    std::vector<PeerIdentity> seeds;
    for (std::size_t index = 0; index < aCount; ++index) {
      const PeerIdentity self = IdentityOf(index, aDomains);
      if (seeds.size() < 2) {
        seeds.push_back(self);
      }
      Node node;
      node.network_ = std::make_unique<SimulatedNetwork>(loop_, links_, self);
      node.task_ =
        std::make_unique<MembershipTask>(loop_, *node.network_, self);
      SimulatedNetwork* network = node.network_.get();
      network->task_ = node.task_.get();
      node.task_->OnNewIncarnation([network](Incarnation aIncarnation) {
        network->self_.incarnation_ = aIncarnation;
      });
      nodes_.push_back(std::move(node));
    }
    for (Node& node : nodes_) {
      node.task_->SetSeeds(seeds);
    }
  }

  static PeerIdentity IdentityOf(std::size_t aIndex, std::size_t aDomains)
  {
    PeerIdentity identity;
    identity.instance_ =
      InstanceId("i-0f3a" + std::to_string(100000 + aIndex * 7));
    identity.incarnation_ = Incarnation(1'790'000'000'000);
    identity.failureDomain_ =
      FailureDomainId("domain-" + std::to_string(aIndex % aDomains));
    identity.region_ = RegionId("region");
    identity.peerAddress_ = Address{ "10.0.12.17", std::uint16_t(aIndex + 1) };
    identity.callerAddress_ = Address{ "10.0.12.17", 8080 };
    return identity;
  }

  void Run(Duration aTime)
  {
    const Duration step = std::chrono::milliseconds(250);
    for (Duration done(0); done < aTime; done += step) {
      clock_.Advance(step);
      for (int round = 0; round < 8; ++round) {
        loop_.RunReady();
      }
    }
  }

  // Stops an instance without notifying the others.
  void Kill(std::size_t aIndex)
  {
    nodes_[aIndex].network_->isUp_ = false;
    nodes_[aIndex].task_.reset();
  }

  InstanceId IdOf(std::size_t aIndex) const
  {
    return nodes_[aIndex].network_->self_.instance_;
  }

  // Returns the state of aOf in the table of aBy; Dead when it is unknown.
  MemberState StateOf(std::size_t aOf, std::size_t aBy) const
  {
    for (const Member& member : nodes_[aBy].task_->Members().members_) {
      if (member.identity_.instance_ == IdOf(aOf)) {
        return member.state_;
      }
    }
    return MemberState::Dead;
  }

  // Returns whether all other running instances have aOf in state aState.
  bool AllReport(std::size_t aOf, MemberState aState) const
  {
    for (std::size_t by = 0; by < nodes_.size(); ++by) {
      if (nodes_[by].task_ != nullptr && by != aOf &&
          StateOf(aOf, by) != aState) {
        return false;
      }
    }
    return true;
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  SimulatedLinks links_;
  std::vector<Node> nodes_;
};

} // namespace sycamoreward
