#include "ledger/Registrar.h"

#include "base/Error.h"
#include "runtime/EventLoop.h"
#include "telemetry/Log.h"

namespace sycamoreward {

namespace {

constexpr Duration kTickInterval = std::chrono::seconds(1);
// A move covers up to 90 rows, and a partition gets at most 8 rows a second.
constexpr std::uint64_t kTicksPerMove = 10;

} // namespace

OwnerState
DetermineOwnerState(const MemberList& aMembers,
                    const InstanceId& aOwner,
                    Incarnation aIncarnation)
{
  for (const Member& member : aMembers.members_) {
    if (member.identity_.instance_ != aOwner) {
      continue;
    }
    if (aIncarnation != Incarnation(0) &&
        member.identity_.incarnation_.Value() >
          aIncarnation.Value() + kMaxRefutations) {
      return OwnerState::Ended;
    }
    return member.state_ == MemberState::Dead ? OwnerState::Dead
                                              : OwnerState::Alive;
  }
  return OwnerState::Dead;
}

Registrar::Registrar(RegistrarServices aServices, const RegionId& aRegion)
  : services_(std::move(aServices))
  , region_(aRegion)
{
  HandleMessages();
  services_.membership_.OnChange([this, isAlive = isAlive_] {
    if (*isAlive) {
      UpdateDuties();
    }
  });
  UpdateDuties();
  Tick();
}

Registrar::~Registrar()
{
  *isAlive_ = false;
}

void
Registrar::HandleMessages()
{
  using Respond = PeerNetwork::Responder;
  const auto guarded = [isAlive = isAlive_](auto aFunction) {
    return [isAlive, aFunction](const PeerIdentity& aFrom,
                                const Message& aMessage,
                                const Respond& aRespond) {
      try {
        if (*isAlive) {
          aFunction(aFrom, aMessage, aRespond);
        }
      } catch (const UserError& error) {
        LogFor("ledger")->warn("A message was dropped: {}", error.what());
      }
    };
  };
  services_.peers_.OnMessage<sycamoreward::Register>(
    guarded([this](const PeerIdentity& aFrom,
                   const Message& aMessage,
                   const Respond& aRespond) {
      const RegisterRequest& request =
        std::get<sycamoreward::Register>(aMessage).request_;
      const bool isOwner = request.owner_ == aFrom.instance_;
      ServeRegister(request,
                    isOwner ? aFrom.incarnation_ : Incarnation(0),
                    [aRespond](RegisterReply aReply) {
                      aRespond(Registered{ std::move(aReply) });
                    });
    }));
  services_.peers_.OnMessage<sycamoreward::Record>(guarded(
    [this](
      const PeerIdentity&, const Message& aMessage, const Respond& aRespond) {
      ServeRecord(std::get<sycamoreward::Record>(aMessage).outcomes_,
                  [aRespond](std::vector<RequestId> aRequests) {
                    aRespond(Recorded{ std::move(aRequests) });
                  });
    }));
  services_.peers_.OnMessage<sycamoreward::Lookup>(guarded(
    [this](
      const PeerIdentity&, const Message& aMessage, const Respond& aRespond) {
      ServeLookup(std::get<sycamoreward::Lookup>(aMessage).request_,
                  [aRespond](Ledger::LookupReply aReply) {
                    aRespond(LookupAnswer{ std::move(aReply.outcome_),
                                           std::move(aReply.error_) });
                  });
    }));
}

void
Registrar::UpdateDuties()
{
  const MemberList& members = services_.membership_.Members();
  for (std::uint32_t index = 0; index < kPartitionsPerRegion; ++index) {
    const LedgerPartition partition{ region_, PartitionId(index) };
    const auto ranked = RankForDuty(members, PartitionName(partition), region_);
    const bool isServed = !ranked.empty() && ranked.front() == members.self_;
    Duty& duty = duties_[partition];
    if (isServed == duty.isServed_) {
      continue;
    }
    duty.isServed_ = isServed;
    if (!duty.task_) {
      PartitionContext context{ services_.loop_,        services_.table_,
                                services_.journal_,     services_.random_,
                                services_.queryServer_, {} };
      context.getOwnerState_ = [this](const InstanceId& aOwner,
                                      Incarnation aIncarnation) {
        const OwnerState state = DetermineOwnerState(
          services_.membership_.Members(), aOwner, aIncarnation);
        return state == OwnerState::Dead && services_.hasEnded_ &&
                   services_.hasEnded_(aOwner)
                 ? OwnerState::Ended
                 : state;
      };
      duty.task_ = std::make_unique<PartitionTask>(context, partition);
    }
    isServed ? duty.task_->Start() : duty.task_->Stop();
  }
}

void
Registrar::Tick()
{
  ++ticks_;
  for (auto& duty : duties_) {
    if (duty.second.task_) {
      duty.second.task_->CheckOwners();
      if (ticks_ % kTicksPerMove == 0) {
        duty.second.task_->MoveOldRows();
      }
    }
  }
  services_.loop_.CallAfter(kTickInterval, [this, isAlive = isAlive_] {
    if (*isAlive) {
      Tick();
    }
  });
}

PartitionTask*
Registrar::FindTask(const RequestId& aRequest)
{
  const auto duty = duties_.find(ParsePartition(aRequest));
  return duty != duties_.end() && duty->second.isServed_
           ? duty->second.task_.get()
           : nullptr;
}

void
Registrar::ServeRegister(const RegisterRequest& aRequest,
                         Incarnation aOwnerIncarnation,
                         PartitionTask::OnRegistered aOnReply)
{
  PartitionTask* task = FindTask(aRequest.request_);
  CheckRequestId(aRequest);
  if (task == nullptr) {
    aOnReply({});
    return;
  }
  task->Register(aRequest, aOwnerIncarnation, std::move(aOnReply));
}

void
Registrar::ServeRecord(const std::vector<Outcome>& aOutcomes,
                       PartitionTask::OnRecorded aOnRecorded)
{
  if (aOutcomes.empty()) {
    aOnRecorded({});
    return;
  }
  const RequestId& first = aOutcomes.front().request_;
  for (const Outcome& outcome : aOutcomes) {
    if (!(ParsePartition(outcome.request_) == ParsePartition(first))) {
      throw UserError("record",
                      "",
                      "The outcomes of " + first.Value() + " and " +
                        outcome.request_.Value() +
                        " are of different partitions.");
    }
  }
  PartitionTask* task = FindTask(first);
  if (task == nullptr) {
    aOnRecorded({});
    return;
  }
  task->Record(aOutcomes, std::move(aOnRecorded));
}

void
Registrar::ServeLookup(const RequestId& aRequest,
                       std::function<void(Ledger::LookupReply)> aOnReply)
{
  PartitionTask* task = FindTask(aRequest);
  if (task == nullptr) {
    aOnReply({ std::nullopt, "This instance is not the registrar." });
    return;
  }
  task->Lookup(aRequest, std::move(aOnReply));
}

std::vector<LedgerPartition>
Registrar::Served() const
{
  std::vector<LedgerPartition> served;
  for (const auto& duty : duties_) {
    if (duty.second.isServed_) {
      served.push_back(duty.first);
    }
  }
  return served;
}

} // namespace sycamoreward
