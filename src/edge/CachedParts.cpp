#include "edge/CachedParts.h"

namespace sycamoreward::edge {

namespace {

// Maximum number of parts per server, to bound the memory that this instance
// uses.
constexpr std::size_t kMaxParts = 2048;

} // namespace

void
CachedParts::Touch(const PromptPart& aPart)
{
  const auto found = parts_.find(aPart.id_);
  if (found != parts_.end()) {
    order_.splice(order_.end(), order_, found->second.position_);
    return;
  }
  order_.push_back(aPart.id_);
  parts_[aPart.id_] = { aPart.tokens_, std::prev(order_.end()) };
  tokens_ += aPart.tokens_;
  while (order_.size() > 1 && (tokens_ > limit_ || order_.size() > kMaxParts)) {
    const auto oldest = parts_.find(order_.front());
    tokens_ -= oldest->second.tokens_;
    parts_.erase(oldest);
    order_.pop_front();
  }
}

} // namespace sycamoreward::edge
