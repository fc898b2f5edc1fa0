#include "edge/EraTracker.h"

#include <algorithm>
#include <utility>

namespace sycamoreward::edge {

void
EraTracker::Read(const std::string& aTable,
                 const std::string& aAfter,
                 OnReply aOnReply)
{
  store_.Read(aTable, aAfter, Track(std::move(aOnReply)));
}

void
EraTracker::Watch(const std::string& aTable,
                  std::uint64_t aVersion,
                  Duration aWait,
                  OnReply aOnReply)
{
  store_.Watch(aTable, aVersion, aWait, Track(std::move(aOnReply)));
}

void
EraTracker::Write(const StoreWrite& aWrite, OnReply aOnReply)
{
  store_.Write(aWrite, Track(std::move(aOnReply)));
}

RowStore::OnReply
EraTracker::Track(OnReply aOnReply)
{
  return [this, onReply = std::move(aOnReply)](const StoreReply& aReply) {
    latest_ = std::max(latest_, aReply.era_);
    onReply(aReply);
  };
}

} // namespace sycamoreward::edge
