#pragma once

// Keeps the server list of this instance up to date: from the platform if the
// instance is one of the readers of its failure domain, otherwise from peers.
// Reports of leaving servers are spread with heartbeats, ahead of the list.

#include "configuration/ConfigurationSource.h"
#include "configuration/FeedExchange.h"
#include "configuration/ServerListState.h"
#include "membership/MembershipTask.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

class ServerFeed final : public ServerList
{
public:
  // Requests the changes after a version from the platform. aOnText is called
  // once, with the response or with nothing when there is none.
  using FetchList = std::function<void(
    std::uint64_t aSince,
    std::function<void(std::optional<std::string>)> aOnText)>;

  ServerFeed(EventLoop& aLoop,
             FetchList aFetch,
             FeedExchange& aFeeds,
             MembershipTask& aMembership);
  ~ServerFeed() override;
  ServerFeed(const ServerFeed&) = delete;
  ServerFeed& operator=(const ServerFeed&) = delete;

  // Starts to fetch the list. Also pulls from aSeeds while no list is known.
  void Start(std::vector<PeerIdentity> aSeeds);

  // Returns whether a list has been received.
  bool IsReady() const { return state_.Version() > 0; }

  std::vector<Server> Servers() const override;
  void OnChange(std::function<void()> aObserver) override;
  void ReportLeaving(const ServerId& aServer) override;

  // Returns whether the list marks an instance as gone or does not contain it.
  bool IsGone(const InstanceId& aInstance) const
  {
    return state_.IsGone(aInstance);
  }

  // Returns the entry instances of the list, for MembershipTask::SetSeeds.
  std::vector<PeerIdentity> Entries() const { return state_.Entries(); }

private:
  void Tick();
  void Fetch();
  void PullFrom(const PeerIdentity& aPeer);
  FeedDelta DeltaAfter(std::uint64_t aAfter) const;
  void FillBeat(Beat& aBeat);
  void HandleBeat(const PeerIdentity& aFrom, const Beat& aBeat);
  void AnnounceChange();

  EventLoop& loop_;
  FetchList fetch_;
  FeedExchange& feeds_;
  MembershipTask& membership_;
  ServerListState state_;
  std::vector<PeerIdentity> seeds_;
  std::size_t nextSeed_ = 0;
  bool isFetching_ = false;
  bool isPulling_ = false;
  // Leaving servers still to be spread, with the number of heartbeats that have
  // carried them.
  std::map<ServerId, unsigned> pendingLeaving_;
  std::vector<std::function<void()>> observers_;
  EventLoop::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
