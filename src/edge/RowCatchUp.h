#pragma once

// Gets changes of store tables from other instances when one of them has a
// change that this instance has not received. The store may leave single calls
// unanswered, and waiting for such a call to time out takes longer than a
// change may take to be in force.

#include "base/Ids.h"
#include "edge/RelayedRows.h"
#include "peer/PeerNetwork.h"

#include <cstdint>
#include <map>

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::edge {

class RowCatchUp
{
public:
  // aRelay must outlive this object. Nothing is requested while it has no
  // functions.
  RowCatchUp(EventLoop& aLoop, PeerNetwork& aNetwork, const RowRelay& aRelay);
  ~RowCatchUp();
  RowCatchUp(const RowCatchUp&) = delete;
  RowCatchUp& operator=(const RowCatchUp&) = delete;

  // Handles the changes that aFrom names. If this instance still lacks one of
  // them after the time that the store usually takes to tell, or if the store
  // is unreachable, the rows are requested from the instances that have it, one
  // after the other.
  void OnReports(const PeerIdentity& aFrom, const Reports& aReports);

private:
  // An instance that has named a change which this one lacked.
  struct Source
  {
    PeerIdentity identity_;
    // Only with the changes that it named.
    Reports changes_;
  };

  void Schedule(Duration aDelay);
  void RequestFromNextSource();

  EventLoop& loop_;
  PeerNetwork& network_;
  const RowRelay& relay_;
  std::map<InstanceId, Source> sources_;
  bool isRequesting_ = false;
  std::uint64_t timer_ = 0;
};

} // namespace sycamoreward::edge
