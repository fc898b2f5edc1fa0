#pragma once

// Learns the era of the store from every answer to this instance, whichever
// part of it has asked. A part that seldom asks would otherwise take the first
// era that it sees for the only one.

#include "edge/RowStore.h"

namespace sycamoreward::edge {

// Passes calls on to a store and keeps the latest era of its answers.
class EraTracker final : public RowStore
{
public:
  // Sets aLatest to the era of an answer when it is later. Both must outlive
  // the calls in progress.
  EraTracker(RowStore& aStore, StoreEra& aLatest)
    : store_(aStore)
    , latest_(aLatest)
  {
  }

  void Read(const std::string& aTable,
            const std::string& aAfter,
            OnReply aOnReply) override;
  void Watch(const std::string& aTable,
             std::uint64_t aVersion,
             Duration aWait,
             OnReply aOnReply) override;
  void Write(const StoreWrite& aWrite, OnReply aOnReply) override;

private:
  OnReply Track(OnReply aOnReply);

  RowStore& store_;
  StoreEra& latest_;
};

} // namespace sycamoreward::edge
