#include "limits/ClientAccounts.h"

#include <algorithm>
#include <utility>

namespace sycamoreward {

namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);
// Part of the connections that yields at once, so that a flood of connections
// does not cost a search for each of them.
constexpr std::size_t kYieldDivisor = 16;

} // namespace

const char*
ToText(ClientLimit aLimit)
{
  switch (aLimit) {
    case ClientLimit::HeldBytes:
      return "bytes";
    case ClientLimit::WorkspaceBytes:
      return "workspace_bytes";
    case ClientLimit::Connections:
      return "connections";
    case ClientLimit::Accept:
      return "accept";
  }
  return "unknown";
}

ClientAccounts::ClientAccounts(const Clock& aClock, const ClientBounds& aBounds)
  : clock_(aClock)
  , bounds_(aBounds)
{
}

std::vector<ClientHolder*>
ClientAccounts::ByCost() const
{
  const MonotonicTime now = clock_.Now();
  std::vector<std::pair<double, ClientHolder*>> costs;
  for (ClientHolder* holder : holders_) {
    const double cost = YieldCost(holder->Holding(now));
    if (cost > 0) {
      costs.emplace_back(cost, holder);
    }
  }
  std::sort(costs.begin(), costs.end(), std::greater<>());
  std::vector<ClientHolder*> holders;
  holders.reserve(costs.size());
  for (const auto& [cost, holder] : costs) {
    holders.push_back(holder);
  }
  return holders;
}

bool
ClientAccounts::MakeConnectionRoom(std::size_t aReserve)
{
  const std::size_t limit =
    bounds_.connections_ > aReserve ? bounds_.connections_ - aReserve : 1;
  if (Connections() < limit) {
    return true;
  }
  const std::size_t target = limit - 1 - limit / kYieldDivisor;
  for (ClientHolder* holder : ByCost()) {
    if (Connections() <= target) {
      break;
    }
    holder->Yield(ClientLimit::Connections);
    Count(ClientLimit::Connections);
  }
  if (Connections() < limit) {
    return true;
  }
  Count(ClientLimit::Connections);
  return false;
}

bool
ClientAccounts::MakeByteRoom(ClientHolder& aHolder)
{
  const MonotonicTime now = clock_.Now();
  if (FitsBytes(aHolder.Holding(now).bytes_, bytes_, bounds_)) {
    return true;
  }
  for (ClientHolder* holder : ByCost()) {
    if (holder->Holding(now).bytes_ == 0) {
      continue;
    }
    holder->Yield(ClientLimit::HeldBytes);
    Count(ClientLimit::HeldBytes);
    if (holder == &aHolder) {
      return false;
    }
    if (FitsBytes(aHolder.Holding(now).bytes_, bytes_, bounds_)) {
      return true;
    }
  }
  return true;
}

bool
ClientAccounts::CouldFit(std::size_t aBytes) const
{
  const MonotonicTime now = clock_.Now();
  std::size_t fixed = bytes_;
  for (const ClientHolder* holder : holders_) {
    const ClientHolding holding = holder->Holding(now);
    if (YieldCost(holding) > 0) {
      fixed -= std::min(fixed, holding.bytes_);
    }
  }
  return FitsBytes(aBytes, fixed + aBytes, bounds_);
}

bool
ClientAccounts::MayRun(const WorkspaceId& aWorkspace, std::size_t aBytes)
{
  const auto found = workspaceBytes_.find(aWorkspace);
  const std::size_t own =
    aBytes + (found == workspaceBytes_.end() ? 0 : found->second);
  if (FitsWorkspace(aBytes, own, bytes_, bounds_)) {
    return true;
  }
  Count(ClientLimit::WorkspaceBytes);
  return false;
}

void
ClientAccounts::Count(ClientLimit aLimit)
{
  Effect& effect = effects_[std::size_t(aLimit)];
  ++effect.count_;
  const MonotonicTime now = clock_.Now();
  const bool isDue =
    effect.count_ == 1 || now - effect.reported_ >= kReportInterval;
  if (report_ && isDue) {
    effect.reported_ = now;
    report_(aLimit, effect.count_);
  }
}

std::uint64_t
ClientAccounts::Affected(ClientLimit aLimit) const
{
  return effects_[std::size_t(aLimit)].count_;
}

ClientCharge::ClientCharge(std::shared_ptr<ClientAccounts> aAccounts)
  : accounts_(std::move(aAccounts))
{
}

ClientCharge::~ClientCharge()
{
  Set(0);
}

void
ClientCharge::Set(std::size_t aBytes)
{
  if (accounts_ == nullptr) {
    return;
  }
  accounts_->bytes_ += aBytes;
  accounts_->bytes_ -= bytes_;
  if (!workspace_.Value().empty()) {
    auto& held = accounts_->workspaceBytes_[workspace_];
    held += aBytes;
    held -= bytes_;
    if (held == 0) {
      accounts_->workspaceBytes_.erase(workspace_);
    }
  }
  bytes_ = aBytes;
}

void
ClientCharge::SetWorkspace(const WorkspaceId& aWorkspace)
{
  const std::size_t bytes = bytes_;
  Set(0);
  workspace_ = aWorkspace;
  Set(bytes);
}

} // namespace sycamoreward
