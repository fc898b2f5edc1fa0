// Properties of the status of a change: it never reports a revision that an
// instance of the failure domain does not have yet.

#include "configuration/InForce.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace sycamoreward;

namespace {

constexpr std::size_t kDomains = 4;

struct Node
{
  std::uint64_t revision_ = 0;
  std::map<InstanceId, PeerReport> peers_;
};

struct Fleet
{
  explicit Fleet(std::size_t aCount)
    : nodes_(aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      Member member;
      member.identity_.instance_ = InstanceId(std::to_string(index));
      member.identity_.failureDomain_ = FailureDomainId(DomainOf(index));
      list_.members_.push_back(member);
    }
  }

  static std::string DomainOf(std::size_t aIndex)
  {
    return "d" + std::to_string(aIndex % kDomains);
  }

  InForceReport Report(std::size_t aIndex)
  {
    list_.self_ = list_.members_[aIndex].identity_.instance_;
    return CollectInForce(
      list_, {}, Revision(nodes_[aIndex].revision_), nodes_[aIndex].peers_);
  }

  void Beat(std::size_t aFrom, std::size_t aTo)
  {
    const InForceReport report = Report(aFrom);
    PeerReport& peer =
      nodes_[aTo].peers_[list_.members_[aFrom].identity_.instance_];
    peer.failureDomain_ = FailureDomainId(DomainOf(aFrom));
    peer.revision_ = Revision(nodes_[aFrom].revision_);
    peer.direct_ = report.direct_;
    peer.relayed_ = report.relayed_;
  }

  std::uint64_t MinRevision(const std::string& aDomain) const
  {
    std::uint64_t lowest = UINT64_MAX;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (DomainOf(index) == aDomain) {
        lowest = std::min(lowest, nodes_[index].revision_);
      }
    }
    return lowest;
  }

  std::vector<Node> nodes_;
  MemberList list_;
};

} // namespace

// Guards against a status that is too high, for example because it takes the
// highest of several relayed values for a failure domain without direct
// contact. Members of a failure domain are all in contact with each other;
// others only over random links.
Test(InForce, StatusNeverExceedsTheLowestRevision)
{
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(kDomains, 13);
    Fleet fleet(count);
    const auto index = rc::gen::inRange<std::size_t>(0, count);
    auto links =
      *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(index, index));
    for (std::size_t from = 0; from < count; ++from) {
      for (std::size_t to = from % kDomains; to < count; to += kDomains) {
        links.emplace_back(from, to);
      }
    }
    // Each member has received one heartbeat from every member of its failure
    // domain.
    for (const auto& [from, to] : links) {
      if (from != to && from % kDomains == to % kDomains) {
        fleet.Beat(from, to);
      }
    }
    const auto steps = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, 1000));
    for (const std::size_t step : steps) {
      const auto& [from, to] = links[step % links.size()];
      if (step % 3 == 0) {
        ++fleet.nodes_[from].revision_;
      } else if (from != to) {
        fleet.Beat(from, to);
      }
      for (std::size_t node = 0; node < count; ++node) {
        const auto report = fleet.Report(node);
        for (const auto& [domain, revision] :
             InForceByDomain(report, fleet.list_)) {
          RC_ASSERT(revision <= fleet.MinRevision(domain));
        }
      }
    }
  }));
}

// Guards against a value that stays low after all instances have the change,
// which would make `apply --wait` never return, and against a missing failure
// domain, which would make it not wait at all.
Test(InForce, StatusConvergesOverThreeHops)
{
  Fleet fleet(kDomains);
  const auto round = [&] {
    for (std::size_t node = 1; node < kDomains; ++node) {
      fleet.Beat(node - 1, node);
      fleet.Beat(node, node - 1);
    }
  };
  const auto status = [&] {
    return InForceByDomain(fleet.Report(0), fleet.list_);
  };
  cr_assert_eq(status().size(), kDomains);
  cr_assert_eq(status().at("d3"), 0);
  for (std::uint64_t revision : { 1, 2 }) {
    for (Node& node : fleet.nodes_) {
      node.revision_ = revision;
    }
    for (std::size_t count = 0; count < kDomains; ++count) {
      round();
    }
    for (const auto& [domain, value] : status()) {
      cr_assert_eq(value, revision, "%s has %lu", domain.c_str(), value);
    }
  }
  // A neighbour without a report may have any revision, so it counts as 0.
  fleet.list_.self_ = fleet.list_.members_[0].identity_.instance_;
  const auto unreported = CollectInForce(
    fleet.list_, { fleet.list_.members_[2].identity_ }, Revision(2), {});
  cr_assert_eq(unreported.direct_.at("d2"), 0);
}
