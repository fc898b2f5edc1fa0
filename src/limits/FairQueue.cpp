#include "limits/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

namespace {

using Fits = std::function<bool(const QueueItem&)>;

// The first items of a flow are examined, so that one request with excluded
// servers does not hold up its workspace.
std::deque<QueueItem>::iterator
FindFitting(QueueFlow& aFlow, const Fits& aFits)
{
  const auto limit = aFlow.items_.begin() +
                     std::ptrdiff_t(std::min(aFlow.items_.size(), kMaxScan));
  const auto found = std::find_if(aFlow.items_.begin(), limit, aFits);
  return found == limit ? aFlow.items_.end() : found;
}

void
EraseFlow(QueueRound& aRound, const WorkspaceId& aWorkspace)
{
  aRound.flows_.erase(aWorkspace);
  aRound.ring_.erase(
    std::find(aRound.ring_.begin(), aRound.ring_.end(), aWorkspace));
}

QueueItem
TakeItem(FairQueue& aQueue,
         QueueRound& aRound,
         QueueFlow& aFlow,
         std::deque<QueueItem>::iterator aItem)
{
  QueueItem item = *aItem;
  aFlow.items_.erase(aItem);
  --aRound.size_;
  aQueue.index_.erase(item.ticket_);
  if (aFlow.items_.empty()) {
    EraseFlow(aRound, item.workspace_);
  }
  if (aRound.size_ == 0) {
    aQueue.levels_.erase(item.level_);
  }
  return item;
}

void
RotateRing(QueueRound& aRound)
{
  aRound.flows_[aRound.ring_.front()].isVisited_ = false;
  aRound.ring_.push_back(aRound.ring_.front());
  aRound.ring_.pop_front();
}

double
BacklogOf(const QueueFlow& aFlow)
{
  return double(aFlow.items_.size()) / aFlow.items_.front().share_;
}

} // namespace

std::size_t
SizeOf(const FairQueue& aQueue)
{
  return aQueue.index_.size();
}

void
Push(FairQueue& aQueue, QueueItem aItem)
{
  aItem.cost_ = std::clamp<std::uint64_t>(aItem.cost_, 1, kMaxCost);
  aItem.share_ = std::max(1U, aItem.share_);
  QueueRound& round = aQueue.levels_[aItem.level_];
  const auto [flow, isNew] = round.flows_.try_emplace(aItem.workspace_);
  if (isNew) {
    round.ring_.push_back(aItem.workspace_);
  }
  aQueue.index_[aItem.ticket_] = { aItem.level_, aItem.workspace_ };
  ++round.size_;
  flow->second.items_.push_back(std::move(aItem));
}

std::optional<QueueItem>
PopNext(FairQueue& aQueue, const QueueLevel& aLevel, const Fits& aFits)
{
  const auto level = aQueue.levels_.find(aLevel);
  if (level == aQueue.levels_.end()) {
    return std::nullopt;
  }
  QueueRound& round = level->second;
  std::size_t withoutFit = 0;
  // Ends after at most kMaxCost / kQuantum + 1 rounds: each round adds a
  // quantum to each flow that has a fitting item.
  while (withoutFit < round.ring_.size()) {
    QueueFlow& flow = round.flows_[round.ring_.front()];
    const auto item = FindFitting(flow, aFits);
    if (item == flow.items_.end()) {
      ++withoutFit;
      RotateRing(round);
      continue;
    }
    withoutFit = 0;
    if (!flow.isVisited_) {
      flow.isVisited_ = true;
      flow.deficit_ =
        std::min(flow.deficit_ + kQuantum * item->share_,
                 kMaxCost + kQuantum * std::uint64_t(item->share_));
    }
    if (item->cost_ <= flow.deficit_) {
      flow.deficit_ -= item->cost_;
      return TakeItem(aQueue, round, flow, item);
    }
    RotateRing(round);
  }
  return std::nullopt;
}

std::optional<QueueItem>
PopAged(FairQueue& aQueue, MonotonicTime aNow, const Fits& aFits)
{
  const QueueItem* oldest = nullptr;
  for (const auto& [level, round] : aQueue.levels_) {
    for (const auto& [workspace, flow] : round.flows_) {
      const std::size_t count = std::min(flow.items_.size(), kMaxScan);
      for (std::size_t at = 0; at < count; ++at) {
        const QueueItem& item = flow.items_[at];
        const bool isFirst =
          item.agedAt_ <= aNow &&
          (oldest == nullptr || item.agedAt_ < oldest->agedAt_);
        if (isFirst && aFits(item)) {
          oldest = &item;
        }
      }
    }
  }
  return oldest == nullptr ? std::nullopt : Remove(aQueue, oldest->ticket_);
}

std::optional<QueueItem>
Remove(FairQueue& aQueue, std::uint64_t aTicket)
{
  const auto place = aQueue.index_.find(aTicket);
  if (place == aQueue.index_.end()) {
    return std::nullopt;
  }
  QueueRound& round = aQueue.levels_[place->second.first];
  QueueFlow& flow = round.flows_[place->second.second];
  const auto item =
    std::find_if(flow.items_.begin(), flow.items_.end(), [&](const auto& aOne) {
      return aOne.ticket_ == aTicket;
    });
  return TakeItem(aQueue, round, flow, item);
}

std::optional<QueueItem>
LastItem(const FairQueue& aQueue)
{
  if (aQueue.levels_.empty()) {
    return std::nullopt;
  }
  const QueueRound& round = aQueue.levels_.rbegin()->second;
  const auto flow = std::max_element(round.flows_.begin(),
                                     round.flows_.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return BacklogOf(aLeft.second) <
                                              BacklogOf(aRight.second);
                                     });
  return flow->second.items_.back();
}

std::optional<QueueItem>
ChooseVictim(const FairQueue& aQueue, const QueueItem& aItem)
{
  auto last = LastItem(aQueue);
  if (!last || last->level_ < aItem.level_) {
    return std::nullopt;
  }
  if (aItem.level_ < last->level_) {
    return last;
  }
  const QueueRound& round = aQueue.levels_.at(aItem.level_);
  const auto own = round.flows_.find(aItem.workspace_);
  const std::size_t waiting =
    own == round.flows_.end() ? 0 : own->second.items_.size();
  const double backlog = double(waiting + 1) / std::max(1U, aItem.share_);
  if (BacklogOf(round.flows_.at(last->workspace_)) > backlog) {
    return last;
  }
  return std::nullopt;
}

std::size_t
CountAhead(const FairQueue& aQueue, const QueueItem& aItem)
{
  std::size_t ahead = 0;
  for (const auto& [level, round] : aQueue.levels_) {
    if (aItem.level_ < level) {
      break;
    }
    if (level.isLong_ != aItem.level_.isLong_) {
      continue;
    }
    if (level < aItem.level_) {
      ahead += round.size_;
      continue;
    }
    const double share = std::max(1U, aItem.share_);
    std::size_t own = 0;
    double others = 0;
    for (const auto& [workspace, flow] : round.flows_) {
      if (workspace == aItem.workspace_) {
        own = flow.items_.size();
      }
    }
    for (const auto& [workspace, flow] : round.flows_) {
      if (workspace != aItem.workspace_) {
        const double turns =
          double(own + 1) * flow.items_.front().share_ / share;
        others += std::min(double(flow.items_.size()), std::ceil(turns));
      }
    }
    ahead += own + std::size_t(others);
  }
  return ahead;
}

} // namespace sycamoreward
