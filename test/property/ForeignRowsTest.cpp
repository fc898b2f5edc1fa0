// Rows of other writers and changing deployments, through decoding, the list of
// servers, the plan of engines and the duties. Guards against an input that is
// well formed but makes no sense and ends the process.

#include "ManifestJson.h"
#include "base/Error.h"
#include "edge/Cloud.h"
#include "edge/DutyRows.h"
#include "edge/DutyTask.h"
#include "edge/EraTracker.h"
#include "edge/ReportExchange.h"
#include "edge/ServerList.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"
#include "support/MemoryStore.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <random>
#include <set>
#include <string>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

using Json = nlohmann::json;

constexpr const char* kDomains[] = { "forth-a", "forth-b", "forth-c" };

class AcceptingCloud final : public Cloud
{
public:
  void Send(const DutyHolder&, const UsageReport&, OnReply aOnReply) override
  {
    ++reports_;
    aOnReply(CloudStatus::Ok);
  }
  void Send(const DutyHolder&,
            const EngineOrder& aOrder,
            OnReply aOnReply) override
  {
    if (areOrdersFaulty_) {
      throw std::out_of_range("order");
    }
    ordered_.insert(aOrder.domain_.Value());
    aOnReply(CloudStatus::Ok);
  }

  // Orders throw, like an input that the plan can't place.
  bool areOrdersFaulty_ = false;
  std::size_t reports_ = 0;
  std::set<std::string> ordered_;
};

// One instance that holds the duties.
struct Holder
{
  Holder()
    : state_(loop_, WireCodec{}, SystemBounds{}, log_, metrics_, 1)
    , tracker_(store_, state_.storeEra_)
    , network_(hub_, Self())
    , duties_((state_.self_ = InstanceId("i"), state_),
              tracker_,
              cloud_,
              Incarnation(1))
    , reports_(state_, network_, Self(), [this] {
      return SelfStatus{ true, false, duties_.HeldEpoch() };
    })
  {
    clock_.Advance(std::chrono::hours(1));
    duties_.Start(reports_);
    reports_.SetMembers({ Self() });
  }

  static PeerIdentity Self()
  {
    PeerIdentity self;
    self.instance_ = InstanceId("i");
    self.incarnation_ = Incarnation(1);
    return self;
  }

  void Run(double aSeconds)
  {
    for (double passed = 0; passed < aSeconds; passed += 0.05) {
      CountBegun(state_.usage_, WorkspaceId("w"), clock_.Wall());
      clock_.Advance(std::chrono::milliseconds(50));
      loop_.RunReady();
    }
  }

  void Apply(const Json& aManifest, const std::map<std::string, Json>& aEntries)
  {
    try {
      ApplyDeployment(state_, platform::DecodeManifest(aManifest.dump()));
    } catch (const UserError&) {
      // Refused, as by an entry instance.
    }
    const MonotonicTime now = clock_.Now();
    std::map<ServerId, BackendServer> listed;
    for (const auto& [key, entry] : aEntries) {
      if (const auto server =
            platform::DecodeServerEntry(key, entry.dump(), now)) {
        listed.emplace(server->id_, *server);
      }
    }
    ApplyListed(servers_, listed, now);
    ApplyServers(state_, servers_.servers_);
  }

  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  EdgeMetrics metrics_;
  FakePeerHub hub_{ loop_ };
  MemoryStore store_{ loop_ };
  AcceptingCloud cloud_;
  EdgeState state_;
  EraTracker tracker_;
  FakePeerNetwork network_;
  DutyTask duties_;
  ReportExchange reports_;
  ServerList servers_;
};

Json
Manifest(std::uint64_t aVersion)
{
  Json prices = Json::object();
  for (const char* domain : kDomains) {
    prices[domain] = 1.0;
  }
  return { { "version", aVersion },
           { "routes", Json::array() },
           { "tenants", Json::array() },
           { "services",
             { { { "name", "model" },
                 { "backend", { { "slots", 8 }, { "kv-capacity", 1000 } } },
                 { "scaling",
                   { { "min", 1 },
                     { "max", 20 },
                     { "spot-price", 0.2 },
                     { "zone-prices", prices } } } } } } };
}

Json
Entry(const char* aDomain, bool aIsLeaving)
{
  return {
    { "service", "model" },     { "address", "127.0.0.1:9" },
    { "zone", aDomain },        { "slots", 8 },
    { "preemptible", true },    { "born", 5 },
    { "cold-remaining-ms", 0 }, { "state", aIsLeaving ? "draining" : "ready" }
  };
}

// Six engines of the deployment.
std::map<std::string, Json>
Engines()
{
  std::map<std::string, Json> entries;
  for (int index = 0; index < 6; ++index) {
    Json entry = Entry(kDomains[index % 3], false);
    entry["address"] = "127.0.0.1:" + std::to_string(100 + index);
    entries["engine-" + std::to_string(index)] = entry;
  }
  return entries;
}

// Replaces a value somewhere in aJson by one that is out of place.
void
Distort(Json& aJson, std::mt19937_64& aRandom)
{
  static const Json kValues[] = { nullptr,
                                  "",
                                  "moray-a",
                                  "model",
                                  "no-such-service",
                                  -1,
                                  0,
                                  1e300,
                                  18446744073709551615ull,
                                  Json::array(),
                                  Json::object(),
                                  true };
  if (aJson.is_structured() && !aJson.empty() && aRandom() % 4 != 0) {
    auto child = aJson.begin();
    std::advance(child, std::ptrdiff_t(aRandom() % aJson.size()));
    if (aJson.is_object() && aRandom() % 6 == 0) {
      aJson.erase(child);
    } else {
      Distort(*child, aRandom);
    }
    return;
  }
  aJson = kValues[aRandom() % std::size(kValues)];
}

} // namespace

// Guards against the lookup of a failure domain that the deployment doesn't
// name, for an engine that leaves.
Test(ForeignRows, AnEngineOfAnUnknownDomainLeaves)
{
  Holder holder;
  auto entries = Engines();
  holder.Apply(Manifest(1), entries);
  holder.Run(6);
  cr_assert_gt(holder.duties_.HeldEpoch().Value(), 0);
  entries["stranger"] = Entry("moray-a", true);
  holder.Apply(Manifest(1), entries);
  try {
    holder.Run(10);
  } catch (const std::exception& error) {
    cr_expect(false, "The process would have ended: %s", error.what());
  }
  cr_expect_gt(holder.duties_.HeldEpoch().Value(), 0);
  cr_expect_gt(holder.cloud_.reports_, 0);
}

// Guards against orders for failure domains that the deployment doesn't name.
Test(ForeignRows, NothingIsOrderedInAnUnknownDomain)
{
  Holder holder;
  auto entries = Engines();
  entries["stranger"] = Entry("moray-a", false);
  holder.Apply(Manifest(1), entries);
  holder.Run(10);
  cr_expect_gt(holder.cloud_.ordered_.size(), 0);
  cr_expect_eq(holder.cloud_.ordered_.count("moray-a"), 0);
}

// Random entries and manifests, which change while the duties go on.
Test(ForeignRows, RandomEntriesAndDeploymentsEndNothing)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Holder holder;
    try {
      for (std::uint64_t round = 1; round <= 30; ++round) {
        Json manifest = Manifest(round);
        auto entries = Engines();
        for (int index = 0; index < 4; ++index) {
          Json entry = Entry(kDomains[random() % 3], random() % 2 == 0);
          Distort(entry, random);
          entries["odd-" + std::to_string(index)] = entry;
        }
        if (random() % 2 == 0) {
          Distort(manifest, random);
        }
        holder.Apply(manifest, entries);
        holder.Run(0.8);
      }
    } catch (const std::exception& error) {
      cr_expect(false, "seed %zu: %s", std::size_t(seed), error.what());
    }
  }
}

// Rows of the duties from another writer, or from a later version.
Test(ForeignRows, RandomRowsOfTheDutiesEndNothing)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    Holder holder;
    holder.Apply(Manifest(1), Engines());
    try {
      for (int round = 0; round < 12; ++round) {
        Json lease{ { "instance", "other" },
                    { "incarnation", 3 },
                    { "epoch", 4 },
                    { "era", 1 },
                    { "firstWindow", 0 } };
        Json counts{ { "w", 3 } };
        Json progress = Json::array(
          { { { "instance", "other" },
              { "incarnation", 3 },
              { "windows", { { "340000000", { { "w", 3 } } } } } } });
        for (Json* json : { &lease, &counts, &progress }) {
          Distort(*json, random);
        }
        StoreWrite write;
        const std::uint64_t window =
          WindowOf(holder.state_.usage_, holder.clock_.Wall()) + random() % 2;
        write.rows_ = {
          { kDutyTable, kProgressKey, progress.dump(), 0, false },
          { kUsageTable, std::to_string(window), counts.dump(), 0, false }
        };
        if (random() % 3 == 0) {
          write.rows_.push_back(
            { kDutyTable, kLeaseKey, lease.dump(), 0, false });
        }
        holder.store_.Write(write, [](const StoreReply&) {});
        holder.Run(2.5);
      }
    } catch (const std::exception& error) {
      cr_expect(false, "seed %zu: %s", std::size_t(seed), error.what());
    }
  }
}

// Guards against a fault in a duty that ends the requests of its process. The
// duties are let go, taken again later, and the usage is reported on.
Test(ForeignRows, AFaultInADutyGivesItUp)
{
  Holder holder;
  holder.cloud_.areOrdersFaulty_ = true;
  holder.Apply(Manifest(1), Engines());
  try {
    holder.Run(60);
  } catch (const std::exception& error) {
    cr_expect(false, "The process would have ended: %s", error.what());
  }
  cr_expect_geq(holder.duties_.Failures(), 2);
  cr_expect_gt(holder.cloud_.reports_, 0);
  holder.cloud_.areOrdersFaulty_ = false;
  holder.Run(20);
  cr_expect_gt(holder.duties_.HeldEpoch().Value(), 0);
  cr_expect_gt(holder.cloud_.ordered_.size(), 0);
}
