#include "limits/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace sycamoreward {

namespace {

using Fits = std::function<bool(const QueueItem&)>;

// Examines up to kMaxScan items of a flow, so that a request with excluded
// servers does not block the other requests of its workspace.
std::deque<QueueItem>::iterator
FindFitting(QueueFlow& aFlow, const Fits& aFits)
{
  const auto limit = aFlow.items_.begin() +
                     std::ptrdiff_t(std::min(aFlow.items_.size(), kMaxScan));
  const auto found = std::find_if(aFlow.items_.begin(), limit, aFits);
  return found == limit ? aFlow.items_.end() : found;
}

void
EraseFlow(LevelQueue& aLevelQueue, const WorkspaceId& aWorkspace)
{
  aLevelQueue.flows_.erase(aWorkspace);
  aLevelQueue.ring_.erase(
    std::find(aLevelQueue.ring_.begin(), aLevelQueue.ring_.end(), aWorkspace));
}

QueueItem
TakeItem(FairQueue& aQueue,
         LevelQueue& aLevelQueue,
         QueueFlow& aFlow,
         std::deque<QueueItem>::iterator aItem)
{
  QueueItem item = *aItem;
  aFlow.items_.erase(aItem);
  --aLevelQueue.size_;
  aQueue.index_.erase(item.ticket_);
  if (aFlow.items_.empty()) {
    EraseFlow(aLevelQueue, item.workspace_);
  }
  if (aLevelQueue.size_ == 0) {
    aQueue.levels_.erase(item.level_);
  }
  return item;
}

void
RotateRing(LevelQueue& aLevelQueue)
{
  aLevelQueue.flows_[aLevelQueue.ring_.front()].hasQuantum_ = false;
  aLevelQueue.ring_.push_back(aLevelQueue.ring_.front());
  aLevelQueue.ring_.pop_front();
}

// Number of queued items relative to the share of the workspace.
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
  LevelQueue& levelQueue = aQueue.levels_[aItem.level_];
  const auto [flow, isNew] = levelQueue.flows_.try_emplace(aItem.workspace_);
  if (isNew) {
    levelQueue.ring_.push_back(aItem.workspace_);
  }
  aQueue.index_[aItem.ticket_] = { aItem.level_, aItem.workspace_ };
  ++levelQueue.size_;
  flow->second.items_.push_back(std::move(aItem));
}

std::optional<QueueItem>
PopNext(FairQueue& aQueue, const QueueLevel& aLevel, const Fits& aFits)
{
  const auto level = aQueue.levels_.find(aLevel);
  if (level == aQueue.levels_.end()) {
    return std::nullopt;
  }
  LevelQueue& levelQueue = level->second;
  std::size_t skippedFlows = 0;
  // Terminates after at most kMaxCost / kQuantum + 1 rounds, since each round
  // adds a quantum to each flow that has a fitting item.
  while (skippedFlows < levelQueue.ring_.size()) {
    QueueFlow& flow = levelQueue.flows_[levelQueue.ring_.front()];
    const auto item = FindFitting(flow, aFits);
    if (item == flow.items_.end()) {
      ++skippedFlows;
      RotateRing(levelQueue);
      continue;
    }
    skippedFlows = 0;
    if (!flow.hasQuantum_) {
      flow.hasQuantum_ = true;
      flow.deficit_ =
        std::min(flow.deficit_ + kQuantum * item->share_,
                 kMaxCost + kQuantum * std::uint64_t(item->share_));
    }
    if (item->cost_ <= flow.deficit_) {
      flow.deficit_ -= item->cost_;
      return TakeItem(aQueue, levelQueue, flow, item);
    }
    RotateRing(levelQueue);
  }
  return std::nullopt;
}

std::optional<QueueItem>
PopAged(FairQueue& aQueue, MonotonicTime aNow, const Fits& aFits)
{
  const QueueItem* oldest = nullptr;
  for (const auto& [level, levelQueue] : aQueue.levels_) {
    for (const auto& [workspace, flow] : levelQueue.flows_) {
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
  LevelQueue& levelQueue = aQueue.levels_[place->second.first];
  QueueFlow& flow = levelQueue.flows_[place->second.second];
  const auto item =
    std::find_if(flow.items_.begin(), flow.items_.end(), [&](const auto& aOne) {
      return aOne.ticket_ == aTicket;
    });
  return TakeItem(aQueue, levelQueue, flow, item);
}

std::optional<QueueItem>
LastItem(const FairQueue& aQueue)
{
  if (aQueue.levels_.empty()) {
    return std::nullopt;
  }
  const LevelQueue& levelQueue = aQueue.levels_.rbegin()->second;
  const auto flow = std::max_element(levelQueue.flows_.begin(),
                                     levelQueue.flows_.end(),
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
  const LevelQueue& levelQueue = aQueue.levels_.at(aItem.level_);
  const auto own = levelQueue.flows_.find(aItem.workspace_);
  const std::size_t waiting =
    own == levelQueue.flows_.end() ? 0 : own->second.items_.size();
  const double backlog = double(waiting + 1) / std::max(1U, aItem.share_);
  if (BacklogOf(levelQueue.flows_.at(last->workspace_)) > backlog) {
    return last;
  }
  return std::nullopt;
}

std::size_t
CountAhead(const FairQueue& aQueue, const QueueItem& aItem)
{
  std::size_t ahead = 0;
  for (const auto& [level, levelQueue] : aQueue.levels_) {
    if (aItem.level_ < level) {
      break;
    }
    if (level.isLong_ != aItem.level_.isLong_) {
      continue;
    }
    if (level < aItem.level_) {
      ahead += levelQueue.size_;
      continue;
    }
    const double share = std::max(1U, aItem.share_);
    std::size_t own = 0;
    double others = 0;
    for (const auto& [workspace, flow] : levelQueue.flows_) {
      if (workspace == aItem.workspace_) {
        own = flow.items_.size();
      }
    }
    for (const auto& [workspace, flow] : levelQueue.flows_) {
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
