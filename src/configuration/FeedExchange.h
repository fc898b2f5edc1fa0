#pragma once

// Exchanges FeedPull and FeedDelta messages between entry instances, for all
// feeds.

#include "peer/PeerNetwork.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace sycamoreward {

class FeedExchange
{
public:
  // Returns what follows a version of a feed, or a snapshot if the version is 0
  // or too old; empty if this instance does not have the feed yet.
  using Source = std::function<std::optional<FeedDelta>(std::uint64_t aAfter)>;

  explicit FeedExchange(PeerNetwork& aNetwork);
  FeedExchange(const FeedExchange&) = delete;
  FeedExchange& operator=(const FeedExchange&) = delete;

  // Answers pulls of aFeed with aSource from now on. aSource is copied; what it
  // captures must stay valid as long as this object.
  void SetSource(FeedName aFeed, Source aSource);

  // Pulls a feed from a peer. The delta is empty if the peer does not answer or
  // does not have the feed yet.
  void Pull(FeedName aFeed,
            const PeerIdentity& aFrom,
            std::uint64_t aAfter,
            Duration aTimeout,
            std::function<void(std::optional<FeedDelta>)> aOnDelta);

private:
  PeerNetwork& network_;
  std::map<FeedName, Source> sources_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
