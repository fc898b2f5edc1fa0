#pragma once

// FeedPull and FeedDelta between entry instances, for all feeds.

#include "peer/PeerNetwork.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace sycamoreward {

class FeedExchange
{
public:
  // Gives what follows a version of a feed, or a snapshot when it is 0 or too
  // old; empty when the feed is not known here yet.
  using Source = std::function<std::optional<FeedDelta>(std::uint64_t aAfter)>;

  explicit FeedExchange(PeerNetwork& aNetwork);
  FeedExchange(const FeedExchange&) = delete;
  FeedExchange& operator=(const FeedExchange&) = delete;

  // Answers pulls of aFeed from now on. aSource must outlive this object.
  void SetSource(FeedName aFeed, Source aSource);

  // Asks a peer. The delta is empty when the peer does not answer or does not
  // know the feed itself.
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
