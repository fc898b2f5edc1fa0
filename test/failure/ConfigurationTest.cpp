// Configuration and server list on several instances, with the table or links
// down.

#include "base/Clock.h"
#include "configuration/ConfigurationTask.h"
#include "configuration/ServerFeed.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"
#include "support/MemoryTable.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>

using namespace sycamoreward;

namespace {

struct Cluster;

struct Instance
{
  Instance(Cluster& aCluster, const PeerIdentity& aSelf);

  FakePeerNetwork network_;
  MembershipTask membership_;
  FeedExchange feeds_;
  ConfigurationStore store_;
  ConfigurationTask configuration_;
  ServerFeed servers_;
};

struct Cluster
{
  // Adds an instance that uses the existing ones as seeds.
  Instance& Add(const std::string& aName, const std::string& aDomain)
  {
    PeerIdentity self;
    self.instance_ = InstanceId(aName);
    self.incarnation_ = Incarnation(1);
    self.failureDomain_ = FailureDomainId(aDomain);
    self.region_ = RegionId("region");
    instances_.push_back(std::make_unique<Instance>(*this, self));
    Instance& instance = *instances_.back();
    instance.membership_.SetSeeds(identities_);
    instance.configuration_.Start(identities_);
    instance.servers_.Start(identities_);
    identities_.push_back(self);
    return instance;
  }

  void AddSix()
  {
    for (int index = 0; index < 6; ++index) {
      Add("i" + std::to_string(index), "fd" + std::to_string(index % 3));
    }
  }

  void Run(Duration aTime)
  {
    const Duration step = std::chrono::milliseconds(100);
    for (Duration done(0); done < aTime; done += step) {
      clock_.Advance(step);
      for (int round = 0; round < 8; ++round) {
        loop_.RunReady();
      }
    }
  }

  CommitStatus Commit(Instance& aInstance, const std::string& aName)
  {
    CommitRequest request;
    request.kind_ = ResourceKind::Workspace;
    request.name_ = aName;
    Workspace workspace;
    workspace.metadata_.name_ = aName;
    workspace.tokenDigests_ = { std::string(64, 'a') };
    request.resource_ = workspace;
    std::optional<CommitStatus> status;
    aInstance.store_.Commit(request, [&](const CommitResult& aResult) {
      status = aResult.status_;
      if (aResult.status_ == CommitStatus::Committed) {
        aInstance.configuration_.ApplyCommittedChange(aResult.change_);
      }
    });
    cr_assert(status.has_value());
    return *status;
  }

  bool AllAt(std::uint64_t aRevision) const
  {
    for (const auto& instance : instances_) {
      if (instance->configuration_.Current()->revision_ !=
          Revision(aRevision)) {
        return false;
      }
    }
    return true;
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  FakePeerHub hub_{ loop_ };
  MemoryTable table_;
  unsigned tokens_ = 0;
  // The platform's list; empty while the platform is unreachable.
  std::optional<std::string> list_ = R"({"version":2,"instances":[
    {"id":"e1","role":"engine","pool":"p","address":"10.0.0.1:80",
     "failureDomain":"fd0","region":"region","state":"live"},
    {"id":"i0","role":"entry","address":"10.0.0.2:80",
     "failureDomain":"fd0","region":"region","state":"live"}]})";
  std::vector<PeerIdentity> identities_;
  std::vector<std::unique_ptr<Instance>> instances_;
};

Instance::Instance(Cluster& aCluster, const PeerIdentity& aSelf)
  : network_(aCluster.hub_, aSelf)
  , membership_(aCluster.loop_, network_, aSelf)
  , feeds_(network_)
  , store_(aCluster.loop_,
           aCluster.table_,
           [&aCluster] { return std::to_string(++aCluster.tokens_); })
  , configuration_(aCluster.loop_, store_, feeds_, membership_)
  , servers_(
      aCluster.loop_,
      [&aCluster](std::uint64_t, auto aOnText) { aOnText(aCluster.list_); },
      feeds_,
      membership_)
{
}

} // namespace

// Guards against a committed change that is late or missing on some instance
// (limit within one region: 3 s), and against a wrong status of the change.
Test(Configuration, ChangesAreInForceEverywhereWithinThreeSeconds)
{
  Cluster cluster;
  cluster.AddSix();
  cluster.Run(std::chrono::seconds(5));
  // The table is down after the commit, so the change can only spread with
  // heartbeats.
  cr_assert_eq(cluster.Commit(*cluster.instances_[4], "one"),
               CommitStatus::Committed);
  cluster.table_.isDown_ = true;
  cluster.Run(std::chrono::seconds(3));
  cr_assert(cluster.AllAt(1));
  cr_assert_eq(cluster.Commit(*cluster.instances_[4], "two"),
               CommitStatus::Unavailable);
  cluster.table_.isDown_ = false;
  // With the table reachable again, the same change is committed.
  cr_assert_eq(cluster.Commit(*cluster.instances_[0], "two"),
               CommitStatus::Committed);
  cluster.Run(std::chrono::seconds(5));
  cr_assert(cluster.AllAt(2));
  for (const auto& instance : cluster.instances_) {
    const auto inForce = instance->configuration_.InForce();
    cr_assert_eq(inForce.size(), 3);
    for (const auto& [domain, revision] : inForce) {
      cr_assert_eq(revision, 2);
    }
  }
}

// Guards against an instance that serves an old or empty configuration because
// it started while the table was down.
Test(Configuration, StartUsesPeersWhileTheTableIsUnreachable)
{
  Cluster cluster;
  cluster.AddSix();
  cluster.Run(std::chrono::seconds(5));
  cr_assert_eq(cluster.Commit(*cluster.instances_[0], "one"),
               CommitStatus::Committed);
  cluster.Run(std::chrono::seconds(3));
  cluster.table_.isDown_ = true;
  Instance& newInstance = cluster.Add("i6", "fd0");
  cr_assert_not(newInstance.configuration_.IsReady());
  cluster.Run(std::chrono::seconds(1));
  cr_assert(newInstance.configuration_.IsReady());
  cr_assert_eq(newInstance.configuration_.Current()->revision_, Revision(1));
}

// Guards against relying on a single answer from another failure domain, which
// may itself be isolated.
Test(Configuration, StartNeedsAnswersOfEnoughPeers)
{
  Cluster cluster;
  cluster.AddSix();
  cluster.Run(std::chrono::seconds(5));
  cluster.table_.isDown_ = true;
  for (const char* cut : { "i0", "i2", "i3", "i4", "i5" }) {
    cluster.hub_.Partition("i6", cut);
  }
  Instance& newInstance = cluster.Add("i6", "fd0");
  cluster.Run(std::chrono::seconds(10));
  cr_assert_not(newInstance.configuration_.IsReady());
  cluster.hub_.Heal("i6", "i2");
  cluster.Run(std::chrono::seconds(8));
  cr_assert(newInstance.configuration_.IsReady());
}

// Guards against instances that become ready because they confirm each other's
// empty configuration.
Test(Configuration, NoInstanceIsReadyBeforeTheTableIsReachable)
{
  Cluster cluster;
  cluster.table_.isDown_ = true;
  cluster.AddSix();
  cluster.Run(std::chrono::seconds(10));
  for (const auto& instance : cluster.instances_) {
    cr_assert_not(instance->configuration_.IsReady());
  }
  cluster.table_.isDown_ = false;
  cluster.Run(std::chrono::seconds(3));
  for (const auto& instance : cluster.instances_) {
    cr_assert(instance->configuration_.IsReady());
  }
}

// Guards against new requests for a server that another instance knows to be
// leaving.
Test(Configuration, LeavingServersAndTheListReachAllInstances)
{
  Cluster cluster;
  cluster.AddSix();
  cluster.Run(std::chrono::seconds(4));
  const auto allSee = [&](ServerState aState) {
    for (const auto& instance : cluster.instances_) {
      const auto servers = instance->servers_.Servers();
      cr_assert_eq(servers.size(), 1);
      cr_assert_eq(servers[0].state_, aState);
      cr_assert_eq(instance->servers_.Entries().size(), 1);
    }
  };
  allSee(ServerState::Live);
  // The platform's list is unreachable from here on.
  cluster.list_.reset();
  cluster.instances_[2]->servers_.ReportLeaving(ServerId("e1"));
  cluster.Run(std::chrono::seconds(1));
  allSee(ServerState::Leaving);
  Instance& newInstance = cluster.Add("i6", "fd1");
  cluster.Run(std::chrono::seconds(3));
  cr_assert(newInstance.servers_.IsReady());
}
