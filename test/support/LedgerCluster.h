#pragma once

// A cluster of entry instances in one region, each with a registrar and a
// ledger client, in one process with a manual clock and an in-memory table.

#include "ledger/LedgerClient.h"
#include "support/FakePeerNetwork.h"
#include "support/MemoryTable.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

// A member list that tests set directly.
class FakeMembership final : public Membership
{
public:
  const MemberList& Members() const override { return list_; }
  void OnChange(std::function<void()> aObserver) override
  {
    observers_.push_back(std::move(aObserver));
  }
  void Set(const InstanceId& aInstance, MemberState aState)
  {
    for (Member& member : list_.members_) {
      if (member.identity_.instance_ == aInstance) {
        member.state_ = aState;
      }
    }
    for (const auto& observer : observers_) {
      observer();
    }
  }

  MemberList list_;
  std::vector<std::function<void()>> observers_;
};

// An object store in memory that can be made unavailable or lose a reply.
class MemoryObjects final : public ObjectStore
{
public:
  std::map<std::string, std::string> objects_;
  // Whether the next write is applied but reported as unknown.
  bool loseReply_ = false;
  bool isDown_ = false;

  void PutNew(const std::string& aName,
              const std::string& aBody,
              std::function<void(WriteResult)> aOnResult) override
  {
    const bool isNew = !isDown_ && objects_.emplace(aName, aBody).second;
    aOnResult(isDown_ || std::exchange(loseReply_, false) ? WriteResult::Unknown
              : isNew ? WriteResult::Committed
                      : WriteResult::ConditionFailed);
  }
  void Get(const std::string& aName,
           std::function<void(GetReply)> aOnReply) override
  {
    GetReply reply;
    reply.isOk_ = !isDown_;
    const auto found = objects_.find(aName);
    if (!isDown_ && found != objects_.end()) {
      reply.body_ = found->second;
    }
    aOnReply(std::move(reply));
  }
  void List(const std::string& aPrefix,
            std::function<void(ListReply)> aOnReply) override
  {
    ListReply reply;
    reply.isOk_ = !isDown_;
    for (const auto& object : objects_) {
      if (object.first.compare(0, aPrefix.size(), aPrefix) == 0) {
        reply.names_.push_back(object.first);
      }
    }
    aOnReply(std::move(reply));
  }
};

struct LedgerCluster
{
  struct Node
  {
    std::unique_ptr<FakePeerNetwork> peers_;
    FakeMembership membership_;
    std::unique_ptr<Registrar> registrar_;
    std::unique_ptr<LedgerClient> client_;
  };

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  FakePeerHub hub_{ loop_ };
  MemoryTable table_;
  MemoryObjects objects_;
  Journal journal_{ table_, objects_ };
  // Reply to every status query to a backend server.
  ServerAnswer serverAnswer_;
  // Whether the platform reports every instance that is asked for as ended.
  bool hasOwnerEnded_ = false;
  // Number of status queries to backend servers.
  unsigned serverQueryCount_ = 0;
  std::map<std::string, Node> nodes_;
  std::uint64_t random_ = 1;

  // A table accessed over HTTP, used instead of table_ and without a journal.
  std::unique_ptr<Table> remoteTable_;

  using MakeTable = std::function<std::unique_ptr<Table>(EventLoop&)>;
  explicit LedgerCluster(const std::vector<std::string>& aNames,
                         const MakeTable& aMakeTable = {})
  {
    if (aMakeTable) {
      remoteTable_ = aMakeTable(loop_);
    }
    for (const std::string& name : aNames) {
      AddNode(name, aNames);
    }
    Run(std::chrono::milliseconds(0));
  }

  void AddNode(const std::string& aName,
               const std::vector<std::string>& aAllNames)
  {
    Node& node = nodes_[aName];
    for (const std::string& name : aAllNames) {
      PeerIdentity identity;
      identity.instance_ = InstanceId(name);
      identity.incarnation_ = Incarnation(5000);
      identity.region_ = RegionId("r");
      node.membership_.list_.members_.push_back(
        { identity, MemberState::Live });
      if (name == aName) {
        node.peers_ = std::make_unique<FakePeerNetwork>(hub_, identity);
      }
    }
    node.membership_.list_.self_ = InstanceId(aName);
    const auto random = [this] { return random_++; };
    RegistrarServices services{ loop_,
                                remoteTable_ ? *remoteTable_ : table_,
                                remoteTable_ ? nullptr : &journal_,
                                node.membership_,
                                *node.peers_,
                                random,
                                {},
                                {} };
    services.queryServer_ = [this](const Claim&, auto aOnAnswer) {
      ++serverQueryCount_;
      aOnAnswer(serverAnswer_);
    };
    services.hasEnded_ = [this](const InstanceId&) { return hasOwnerEnded_; };
    node.registrar_ = std::make_unique<Registrar>(services, RegionId("r"));
    LedgerClientOptions options;
    options.answers_ = &objects_;
    node.client_ = std::make_unique<LedgerClient>(loop_,
                                                  node.membership_,
                                                  *node.peers_,
                                                  node.registrar_.get(),
                                                  random,
                                                  options);
  }

  // Advances the clock in small steps and runs the event loop at each.
  void Run(Duration aTime)
  {
    constexpr Duration kStep = std::chrono::milliseconds(5);
    constexpr unsigned kRounds = 6;
    for (Duration passed(0); passed <= aTime; passed += kStep) {
      for (unsigned round = 0; round < kRounds; ++round) {
        loop_.RunReady();
      }
      if (remoteTable_) {
        loop_.RunUntil([] { return false; }, std::chrono::milliseconds(1));
      }
      clock_.Advance(kStep);
    }
  }

  // Ends a node without notice; the other nodes see it as dead.
  void Kill(const std::string& aName)
  {
    nodes_.erase(aName);
    SetState(aName, MemberState::Dead);
  }
  void SetState(const std::string& aName, MemberState aState)
  {
    for (auto& node : nodes_) {
      node.second.membership_.Set(InstanceId(aName), aState);
    }
  }

  LedgerClient& Client(const std::string& aName)
  {
    return *nodes_.at(aName).client_;
  }

  RegisterRequest MakeRequest(const std::string& aOwner,
                              const std::string& aKey,
                              bool aIsDurable)
  {
    RegisterRequest request;
    request.workspace_ = WorkspaceId("w");
    request.service_ = ServiceName("desk");
    request.region_ = RegionId("r");
    request.keyDigest_ = aKey;
    request.bodyDigest_ = "body";
    request.isDurable_ = aIsDurable;
    request.owner_ = InstanceId(aOwner);
    request.request_ = Client(aOwner).MakeRequestId(
      request.region_, request.workspace_, request.service_, aKey);
    return request;
  }

  // Registers a request through its owner's client and runs the loop until the
  // timeout.
  RegisterReply Register(const RegisterRequest& aRequest,
                         Duration aTimeout = std::chrono::seconds(1))
  {
    std::optional<RegisterReply> reply;
    Client(aRequest.owner_.Value())
      .Register(aRequest, aTimeout, [&](RegisterReply aReply) {
        reply = std::move(aReply);
      });
    Run(aTimeout + std::chrono::milliseconds(20));
    return reply.value();
  }

  Ledger::LookupReply Lookup(const std::string& aNode,
                             const RequestId& aRequest)
  {
    std::optional<Ledger::LookupReply> reply;
    Client(aNode).Lookup(
      aRequest, [&](Ledger::LookupReply aReply) { reply = std::move(aReply); });
    Run(std::chrono::seconds(6));
    return reply.value();
  }
};

inline Outcome
MakeOutcome(const RegisterRequest& aRequest, OutcomeKind aKind)
{
  Outcome outcome;
  outcome.request_ = aRequest.request_;
  outcome.workspace_ = aRequest.workspace_;
  outcome.service_ = aRequest.service_;
  outcome.keyDigest_ = aRequest.keyDigest_;
  outcome.bodyDigest_ = aRequest.bodyDigest_;
  outcome.kind_ = aKind;
  return outcome;
}

} // namespace sycamoreward
