#include "configuration/FeedExchange.h"

#include <utility>

namespace sycamoreward {

namespace {

// Returns an invalid delta (after_ > version_), which tells the receiver that
// this instance does not have the feed.
FeedDelta
UnknownFeed(FeedName aFeed)
{
  FeedDelta delta;
  delta.feed_ = aFeed;
  delta.after_ = 1;
  return delta;
}

} // namespace

FeedExchange::FeedExchange(PeerNetwork& aNetwork)
  : network_(aNetwork)
{
  network_.OnMessage<FeedPull>([this, weak = std::weak_ptr<bool>(alive_)](
                                 const PeerIdentity&,
                                 const Message& aMessage,
                                 const PeerNetwork::Responder& aRespond) {
    if (weak.expired()) {
      return;
    }
    const auto& pull = std::get<FeedPull>(aMessage);
    const auto source = sources_.find(pull.feed_);
    auto delta =
      source == sources_.end() ? std::nullopt : source->second(pull.after_);
    aRespond(delta.has_value() ? std::move(*delta) : UnknownFeed(pull.feed_));
  });
}

void
FeedExchange::SetSource(FeedName aFeed, Source aSource)
{
  sources_[aFeed] = std::move(aSource);
}

void
FeedExchange::Pull(FeedName aFeed,
                   const PeerIdentity& aFrom,
                   std::uint64_t aAfter,
                   Duration aTimeout,
                   std::function<void(std::optional<FeedDelta>)> aOnDelta)
{
  network_.Call(
    aFrom,
    FeedPull{ aFeed, aAfter },
    aTimeout,
    [weak = std::weak_ptr<bool>(alive_), aFeed, onDelta = std::move(aOnDelta)](
      const PeerReply& aReply) {
      if (weak.expired()) {
        return;
      }
      const FeedDelta* delta = aReply.message_.has_value()
                                 ? std::get_if<FeedDelta>(&*aReply.message_)
                                 : nullptr;
      const bool isUsable = delta != nullptr && delta->feed_ == aFeed &&
                            delta->after_ <= delta->version_;
      onDelta(isUsable ? std::optional(*delta) : std::nullopt);
    });
}

} // namespace sycamoreward
