#include "configuration/ServerFeed.h"

#include "base/Error.h"
#include "configuration/ConfigurationTask.h"
#include "telemetry/Log.h"

#include <utility>

namespace sycamoreward {

namespace {

constexpr Duration kTickInterval = std::chrono::seconds(1);
constexpr Duration kPullTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxLeavingPerBeat = 64;

const char* const kDuty = "server-list-reader";

} // namespace

ServerFeed::ServerFeed(EventLoop& aLoop,
                       FetchList aFetch,
                       FeedExchange& aFeeds,
                       MembershipTask& aMembership)
  : loop_(aLoop)
  , fetch_(std::move(aFetch))
  , feeds_(aFeeds)
  , membership_(aMembership)
{
  const std::weak_ptr<bool> weak = alive_;
  feeds_.SetSource(
    FeedName::ServerList,
    [this, weak](std::uint64_t aAfter) -> std::optional<FeedDelta> {
      if (weak.expired() || !IsReady()) {
        return std::nullopt;
      }
      return DeltaAfter(aAfter);
    });
  membership_.AddBeatExtension(
    [this, weak](Beat& aBeat) {
      if (!weak.expired()) {
        FillBeat(aBeat);
      }
    },
    [this, weak](const PeerIdentity& aFrom, const Beat& aBeat) {
      if (!weak.expired()) {
        HandleBeat(aFrom, aBeat);
      }
    });
}

ServerFeed::~ServerFeed()
{
  loop_.CancelTimer(timer_);
}

void
ServerFeed::Start(std::vector<PeerIdentity> aSeeds)
{
  seeds_ = std::move(aSeeds);
  Tick();
}

std::vector<Server>
ServerFeed::Servers() const
{
  return state_.Servers();
}

void
ServerFeed::OnChange(std::function<void()> aObserver)
{
  observers_.push_back(std::move(aObserver));
}

void
ServerFeed::ReportLeaving(const ServerId& aServer)
{
  if (state_.AddLeaving(aServer)) {
    pendingLeaving_[aServer] = 0;
    AnnounceChange();
  }
}

void
ServerFeed::Tick()
{
  timer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
  const bool isReader =
    IsReaderOf(membership_.Members(), kDuty, membership_.Self().failureDomain_);
  if (isReader || !IsReady()) {
    Fetch();
  }
  if (!IsReady() && !seeds_.empty()) {
    const PeerIdentity& seed = seeds_[nextSeed_++ % seeds_.size()];
    if (seed.instance_ != membership_.Self().instance_) {
      PullFrom(seed);
    }
  }
}

void
ServerFeed::Fetch()
{
  if (isFetching_) {
    return;
  }
  isFetching_ = true;
  const std::uint64_t since = state_.Version();
  fetch_(since,
         [this, since, weak = std::weak_ptr<bool>(alive_)](
           const std::optional<std::string>& aText) {
           if (weak.expired()) {
             return;
           }
           isFetching_ = false;
           if (!aText.has_value()) {
             return;
           }
           try {
             if (state_.Apply(ParseInstanceList(*aText, since))) {
               AnnounceChange();
             }
           } catch (const UserError& error) {
             LogFor("servers")->error("{}", error.what());
           }
         });
}

void
ServerFeed::PullFrom(const PeerIdentity& aPeer)
{
  if (isPulling_) {
    return;
  }
  isPulling_ = true;
  feeds_.Pull(FeedName::ServerList,
              aPeer,
              state_.Version(),
              kPullTimeout,
              [this, weak = std::weak_ptr<bool>(alive_)](
                const std::optional<FeedDelta>& aDelta) {
                if (weak.expired()) {
                  return;
                }
                isPulling_ = false;
                if (!aDelta.has_value()) {
                  return;
                }
                ListUpdate update{
                  aDelta->isSnapshot_, aDelta->after_, aDelta->version_, {}
                };
                try {
                  for (const std::string& item : aDelta->items_) {
                    update.instances_.push_back(ParseListedInstance(item));
                  }
                } catch (const UserError& error) {
                  LogFor("servers")->error("{}", error.what());
                  return;
                }
                if (state_.Apply(update)) {
                  AnnounceChange();
                }
              });
}

FeedDelta
ServerFeed::DeltaAfter(std::uint64_t aAfter) const
{
  const ListUpdate update = state_.UpdateAfter(aAfter);
  FeedDelta delta;
  delta.feed_ = FeedName::ServerList;
  delta.isSnapshot_ = update.isSnapshot_;
  delta.after_ = update.after_;
  delta.version_ = update.version_;
  for (const ListedInstance& instance : update.instances_) {
    delta.items_.push_back(FormatListedInstance(instance));
  }
  return delta;
}

void
ServerFeed::FillBeat(Beat& aBeat)
{
  aBeat.serverListVersion_ = state_.Version();
  for (auto it = pendingLeaving_.begin();
       it != pendingLeaving_.end() &&
       aBeat.leavingServers_.size() < kMaxLeavingPerBeat;) {
    aBeat.leavingServers_.push_back({ it->first });
    it = ++it->second >= kEventTransmissions ? pendingLeaving_.erase(it)
                                             : std::next(it);
  }
}

void
ServerFeed::HandleBeat(const PeerIdentity& aFrom, const Beat& aBeat)
{
  for (const ServerLeavingEvent& event : aBeat.leavingServers_) {
    ReportLeaving(event.server_);
  }
  if (aBeat.serverListVersion_ > state_.Version()) {
    PullFrom(aFrom);
  }
}

void
ServerFeed::AnnounceChange()
{
  membership_.ScheduleBeats();
  for (const auto& observer : observers_) {
    observer();
  }
}

} // namespace sycamoreward
