// Plays what clients do next against the account of what they hold together.
// Guards against bytes that are counted twice or never returned, sums above
// their bound, and small requests that large ones shut out for good.

#include "limits/ClientAccounts.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace sycamoreward;

namespace {

constexpr std::size_t kBytes = 1000;
constexpr std::size_t kConnections = 12;
constexpr std::size_t kReserve = 1;
constexpr std::size_t kSmallRequest = 5;

ClientBounds
SmallBounds()
{
  ClientBounds bounds;
  bounds.connections_ = kConnections;
  bounds.refusalReserve_ = kReserve;
  bounds.bytes_ = kBytes;
  return bounds;
}

// A connection whose client does what the model draws.
class Client final : public ClientHolder
{
public:
  Client(const std::shared_ptr<ClientAccounts>& aAccounts, MonotonicTime aNow)
    : accounts_(aAccounts)
    , charge_(aAccounts)
    , since_(aNow)
  {
    accounts_->Add(*this);
  }
  ~Client() override { accounts_->Remove(*this); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  ClientHolding Holding(MonotonicTime aNow) const override
  {
    return { phase_, charge_.Held(), aNow - since_ };
  }

  void Yield(ClientLimit /*aLimit*/) override
  {
    RC_ASSERT(phase_ != ClientPhase::Running);
    Leave();
  }

  void Leave()
  {
    isGone_ = true;
    charge_.Set(0);
    accounts_->Remove(*this);
  }

  // Returns whether the bytes were taken.
  bool Send(std::size_t aBytes)
  {
    charge_.Set(charge_.Held() + aBytes);
    return accounts_->MakeByteRoom(*this);
  }

  void SetPhase(ClientPhase aPhase, MonotonicTime aNow)
  {
    phase_ = aPhase;
    since_ = aNow;
    if (aPhase == ClientPhase::Idle) {
      charge_.Set(0);
    }
  }

  ClientPhase Phase() const { return phase_; }
  std::size_t Held() const { return charge_.Held(); }
  bool IsGone() const { return isGone_; }

private:
  std::shared_ptr<ClientAccounts> accounts_;
  ClientCharge charge_;
  ClientPhase phase_ = ClientPhase::Incomplete;
  MonotonicTime since_;
  bool isGone_ = false;
};

struct Model
{
  ManualClock clock_;
  std::shared_ptr<ClientAccounts> accounts_ =
    std::make_shared<ClientAccounts>(clock_, SmallBounds());
  std::vector<std::unique_ptr<Client>> clients_;

  void RemoveGone()
  {
    clients_.erase(
      std::remove_if(clients_.begin(),
                     clients_.end(),
                     [](const auto& aClient) { return aClient->IsGone(); }),
      clients_.end());
  }

  // Returns null if the client is refused.
  Client* Connect()
  {
    const bool isRoom = accounts_->MakeConnectionRoom(kReserve);
    RemoveGone();
    if (!isRoom) {
      return nullptr;
    }
    clients_.push_back(std::make_unique<Client>(accounts_, clock_.Now()));
    return clients_.back().get();
  }

  void Step()
  {
    clock_.Advance(std::chrono::milliseconds(*rc::gen::inRange(0, 500)));
    const bool isNew = clients_.empty() || *rc::gen::inRange(0, 4) == 0;
    if (isNew) {
      Connect();
      return;
    }
    Client& client =
      *clients_[*rc::gen::inRange<std::size_t>(0, clients_.size())];
    const bool isRunning = client.Phase() == ClientPhase::Running;
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        client.Leave();
        break;
      case 1:
        if (isRunning) {
          client.SetPhase(ClientPhase::Idle, clock_.Now());
        }
        break;
      case 2:
        if (client.Phase() == ClientPhase::Incomplete) {
          client.SetPhase(ClientPhase::Running, clock_.Now());
        }
        break;
      case 3:
        if (isRunning) {
          client.SetPhase(ClientPhase::Unread, clock_.Now());
        }
        break;
      default:
        if (!isRunning) {
          if (client.Phase() == ClientPhase::Idle) {
            client.SetPhase(ClientPhase::Incomplete, clock_.Now());
          }
          client.Send(*rc::gen::inRange<std::size_t>(1, kBytes));
        }
    }
    RemoveGone();
  }

  void Check() const
  {
    std::size_t held = 0;
    for (const auto& client : clients_) {
      held += client->Held();
    }
    RC_ASSERT(held == accounts_->HeldBytes());
    RC_ASSERT(held <= kBytes);
    RC_ASSERT(clients_.size() == accounts_->Connections());
    RC_ASSERT(clients_.size() <= kConnections - kReserve);
  }
};

} // namespace

Test(ClientAccounts, SumsAreExactAndBounded)
{
  cr_assert(rc::check([] {
    Model model;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      model.Step();
      model.Check();
    }
    // Requests in progress end; what misbehaving clients hold stays.
    for (const auto& client : model.clients_) {
      if (client->Phase() == ClientPhase::Running) {
        client->SetPhase(ClientPhase::Idle, model.clock_.Now());
      }
    }
    model.clock_.Advance(std::chrono::milliseconds(1));
    Client* ordinary = model.Connect();
    RC_ASSERT(ordinary != nullptr);
    RC_ASSERT(ordinary->Send(kSmallRequest));
    model.RemoveGone();
    model.Check();
    model.clients_.clear();
    RC_ASSERT(model.accounts_->HeldBytes() == 0);
    RC_ASSERT(model.accounts_->Connections() == 0);
  }));
}

// Guards against a workspace whose requests, each within its limits, take all
// the memory.
Test(ClientAccounts, AWorkspaceLeavesRoomForOthers)
{
  cr_assert(rc::check([] {
    ManualClock clock;
    const auto accounts =
      std::make_shared<ClientAccounts>(clock, SmallBounds());
    std::vector<std::unique_ptr<ClientCharge>> charges;
    const auto run = [&](const char* aWorkspace, std::size_t aBytes) {
      auto charge = std::make_unique<ClientCharge>(accounts);
      charge->Set(aBytes);
      const WorkspaceId workspace(aWorkspace);
      const bool mayRun = accounts->MayRun(workspace, aBytes);
      if (mayRun) {
        charge->SetWorkspace(workspace);
        charges.push_back(std::move(charge));
      }
      return mayRun;
    };
    constexpr std::size_t kSmall = 1;
    const auto size = *rc::gen::inRange<std::size_t>(kSmall + 1, 100);
    std::size_t hot = 0;
    while (run("hot", size)) {
      hot += size;
    }
    RC_ASSERT(hot > 0);
    RC_ASSERT(hot <= kBytes * 2 / 3);
    RC_ASSERT(run("hot", kSmall));
    RC_ASSERT(run("other", size));
    charges.clear();
    RC_ASSERT(accounts->HeldBytes() == 0);
    RC_ASSERT(run("hot", size));
  }));
}

// The bounds leave room for the process on each machine, and for a request of
// the largest size in use.
Test(ClientAccounts, BoundsFitTheMachine)
{
  cr_assert(rc::check([] {
    const auto megabytes = *rc::gen::inRange<std::size_t>(24, 100'000);
    const auto descriptors = *rc::gen::inRange<std::size_t>(300, 1'000'000);
    const ClientBounds bounds =
      DeriveClientBounds({ Bytes(megabytes * 1'000'000), descriptors });
    constexpr std::size_t kLargestBody = 4 * 1024 * 1024;
    constexpr std::size_t kFiles = 200;
    RC_ASSERT(bounds.bytes_ + bounds.streamedBytes_ <=
              megabytes * 1'000'000 / 2);
    RC_ASSERT(2 * bounds.connections_ + bounds.idleServerConnections_ <=
              descriptors - kFiles);
    RC_ASSERT(bounds.connections_ > 2 * bounds.refusalReserve_);
    RC_ASSERT(FitsBytes(kLargestBody, kLargestBody, bounds));
  }));
}

// What the smallest machines in use may hold: 160 MB, 4,200 descriptors.
Test(ClientAccounts, TheSmallestMachinesServeManyCallers)
{
  const ClientBounds bounds = DeriveClientBounds({ Bytes(160'000'000), 4200 });
  cr_expect_geq(bounds.connections_, 900);
  cr_expect_geq(bounds.bytes_, 14 * 4 * 1024 * 1024);
}
