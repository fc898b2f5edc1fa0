// The part of ReportExchange that summarizes what is known of the instances.

#include "edge/ReportExchange.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward::edge {

std::vector<PeerIdentity>
ReportExchange::Placers() const
{
  std::vector<PeerIdentity> placers;
  if (IsMesh() || IsIsolated()) {
    return placers;
  }
  for (const InstanceId& id : placers_) {
    const auto found = peers_.find(id);
    placers.push_back(found == peers_.end() ? self_ : found->second.identity_);
  }
  return placers;
}

std::vector<KnownInstance>
ReportExchange::Instances() const
{
  const SelfStatus status = status_();
  std::vector<KnownInstance> instances;
  instances.push_back({ self_.instance_,
                        self_.failureDomain_,
                        self_.callerAddress_,
                        self_.strength_,
                        status.isReady_,
                        status.isLeaving_,
                        true });
  for (const auto& [id, peer] : peers_) {
    instances.push_back({ id,
                          peer.identity_.failureDomain_,
                          peer.identity_.callerAddress_,
                          peer.identity_.strength_,
                          peer.report_.isReady_,
                          peer.report_.isLeaving_,
                          IsLive(peer) });
  }
  return instances;
}

std::size_t
ReportExchange::LiveCount() const
{
  std::size_t count = 1;
  for (const auto& [id, peer] : peers_) {
    count += IsLive(peer) ? 1 : 0;
  }
  return count;
}

FencingToken
ReportExchange::PeerDutyEpoch() const
{
  FencingToken epoch;
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer) && epoch < peer.report_.dutyEpoch_) {
      epoch = peer.report_.dutyEpoch_;
    }
  }
  return epoch;
}

double
ReportExchange::Demand(const ServiceName& aService) const
{
  double demand = 0;
  const auto own = state_.demand_.find(aService);
  if (own != state_.demand_.end()) {
    demand = own->second.Rate(state_.loop_.GetClock().Now());
  }
  const auto others = others_.demand_.find(aService.Value());
  if (others != others_.demand_.end() && !isCollector_) {
    return demand + double(others->second);
  }
  for (const auto& [id, peer] : peers_) {
    const auto found = peer.report_.demand_.find(aService.Value());
    if (IsLive(peer) && found != peer.report_.demand_.end()) {
      demand += double(found->second);
    }
  }
  return demand;
}

double
ReportExchange::Refused() const
{
  auto refused = double(state_.refused_);
  for (const auto& [id, peer] : peers_) {
    refused += IsLive(peer) ? double(peer.report_.refused_) : 0;
  }
  return refused;
}

Duration
ReportExchange::WallOffset() const
{
  std::vector<Duration> offsets{ Duration(0) };
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer)) {
      offsets.push_back(peer.wallOffset_);
    }
  }
  std::sort(offsets.begin(), offsets.end());
  return offsets[offsets.size() / 2];
}

} // namespace sycamoreward::edge
