#pragma once

// Serves the ledger partitions of the region for which this instance ranks
// first, for peers and for the local LedgerClient.

#include "ledger/PartitionTask.h"
#include "membership/Membership.h"
#include "peer/PeerNetwork.h"

#include <map>
#include <memory>

namespace sycamoreward {

// What a registrar depends on. Nothing referred to is owned.
struct RegistrarServices
{
  EventLoop& loop_;
  Table& table_;
  // Null when there is no object store; rows then stay in the table.
  Journal* journal_ = nullptr;
  Membership& membership_;
  PeerNetwork& peers_;
  std::function<std::uint64_t()> random_;
  ServerQuery queryServer_;
  // Returns whether the instance has ended, according to the platform. An empty
  // function means that this is never known.
  std::function<bool(const InstanceId&)> hasEnded_;
};

// Returns the state of a claim's owner. A member with the same id but an
// incarnation that is more than kMaxRefutations higher is a new process.
OwnerState
DetermineOwnerState(const MemberList& aMembers,
                    const InstanceId& aOwner,
                    Incarnation aIncarnation);

// Incarnations of one instance that differ by more than this belong to
// different processes.
constexpr std::uint64_t kMaxRefutations = 1000;

class Registrar
{
public:
  // aRegion is the region whose partitions this instance may serve. The
  // constructor registers handlers for the messages Register, Record and Lookup
  // of aServices.peers_.
  Registrar(RegistrarServices aServices, const RegionId& aRegion);
  ~Registrar();
  Registrar(const Registrar&) = delete;
  Registrar& operator=(const Registrar&) = delete;

  // Replies Unavailable when this instance does not serve the partition.
  void ServeRegister(const RegisterRequest& aRequest,
                     Incarnation aOwnerIncarnation,
                     PartitionTask::OnRegistered aOnReply);

  // All outcomes must belong to one partition; throws UserError otherwise.
  // Calls back with the ids of the durable outcomes.
  void ServeRecord(const std::vector<Outcome>& aOutcomes,
                   PartitionTask::OnRecorded aOnRecorded);

  void ServeLookup(const RequestId& aRequest,
                   std::function<void(Ledger::LookupReply)> aOnReply);

  // Returns the partitions that this instance currently serves.
  std::vector<LedgerPartition> Served() const;

private:
  void HandleMessages();
  void UpdateDuties();
  void Tick();
  PartitionTask* FindTask(const RequestId& aRequest);

  RegistrarServices services_;
  RegionId region_;
  struct Duty
  {
    std::unique_ptr<PartitionTask> task_;
    bool isServed_ = false;
  };
  std::map<LedgerPartition, Duty> duties_;
  std::uint64_t ticks_ = 0;
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
