#include "edge/LeavingServers.h"

#include "edge/EdgeState.h"
#include "runtime/EventLoop.h"

namespace sycamoreward::edge {

namespace {

// Time for which a leaving server is reported. Each instance reports several
// times in it, also to collectors.
constexpr Duration kReportTime = std::chrono::seconds(4);
// A server that is no longer listed is forgotten after this time. An older copy
// of the store is some seconds old.
constexpr Duration kUnlistedMemory = std::chrono::minutes(10);
// Bounds the record. More servers than this do not leave in that time.
constexpr std::size_t kMaxEntries = 8192;

BackendView*
FindListed(EdgeState& aState, const ServerId& aServer, Incarnation aIncarnation)
{
  for (auto& [service, pool] : aState.pools_) {
    BackendView* view = FindServer(aState, service, aServer, aIncarnation);
    if (view != nullptr) {
      return view;
    }
  }
  return nullptr;
}

void
DropForgotten(EdgeState& aState)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  auto& entries = aState.leaving_.entries_;
  for (auto entry = entries.begin(); entry != entries.end();) {
    const auto& [server, incarnation] = entry->first;
    const bool isOld = now - entry->second.learnedAt_ > kUnlistedMemory;
    const bool isDropped =
      isOld && FindListed(aState, server, incarnation) == nullptr;
    entry = isDropped ? entries.erase(entry) : std::next(entry);
  }
}

} // namespace

void
RecordLeaving(EdgeState& aState,
              const ServerId& aServer,
              Incarnation aIncarnation,
              const char* aSource)
{
  auto& entries = aState.leaving_.entries_;
  if (entries.count({ aServer, aIncarnation }) != 0) {
    return;
  }
  if (entries.size() >= kMaxEntries) {
    DropForgotten(aState);
  }
  BackendView* view = FindListed(aState, aServer, aIncarnation);
  LogLine line("server_leaving");
  line.Add("server", aServer.Value())
    .Add("incarnation", aIncarnation.Value())
    .Add("source", aSource)
    .Add("listed", view != nullptr)
    .Add("running", std::uint64_t(view == nullptr ? 0 : view->running_));
  aState.log_.WriteImportant(line);
  if (entries.size() >= kMaxEntries) {
    return;
  }
  LeavingServers::Entry& entry = entries[{ aServer, aIncarnation }];
  entry.learnedAt_ = aState.loop_.GetClock().Now();
  if (view != nullptr) {
    entry.isListed_ = view->server_.isDraining_;
    view->server_.isDraining_ = true;
  }
  aState.channels_.Drop(aServer);
  if (!entry.isListed_ && aState.reportSoon_) {
    aState.reportSoon_();
  }
}

bool
IsLeaving(const LeavingServers& aServers,
          const ServerId& aServer,
          Incarnation aIncarnation)
{
  return aServers.entries_.count({ aServer, aIncarnation }) != 0;
}

void
MarkLeaving(EdgeState& aState)
{
  for (auto& [key, entry] : aState.leaving_.entries_) {
    if (BackendView* view = FindListed(aState, key.first, key.second)) {
      entry.isListed_ = view->server_.isDraining_;
      view->server_.isDraining_ = true;
    }
  }
}

void
AddLeaving(const EdgeState& aState, std::vector<LeavingServer>& aLeaving)
{
  const MonotonicTime now = aState.loop_.GetClock().Now();
  for (const auto& [key, entry] : aState.leaving_.entries_) {
    if (!entry.isListed_ && now - entry.learnedAt_ <= kReportTime) {
      aLeaving.push_back({ key.first, key.second });
    }
  }
}

void
ApplyRelayedLeaving(EdgeState& aState,
                    const std::vector<LeavingServer>& aLeaving)
{
  for (const LeavingServer& server : aLeaving) {
    RecordLeaving(aState, server.server_, server.incarnation_, "report");
  }
}

} // namespace sycamoreward::edge
