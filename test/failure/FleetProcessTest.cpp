// The fleet duty in a deployment of processes: models are loaded as declared,
// also when the holder of the lease is paused and wakes up late.

#include "store/DynamoTable.h"
#include "support/Deployment.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <set>

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

constexpr unsigned kEngines = 3;
constexpr int kLimitSeconds = 30;
constexpr unsigned kRounds = 2;

struct FleetWorld
{
  explicit FleetWorld(bool aChecksFencing)
    : checksFencing_(aChecksFencing)
  {
    DeploymentOptions options;
    options.engines_ = kEngines;
    options.settings_ =
      "fleet:\n  leaseMs: 4000\n  renewMs: 1000\n  orderTimeoutMs: 400\n";
    if (!aChecksFencing) {
      options.engineArguments_ = { "--ignore-fencing" };
    }
    deployment_ = std::make_unique<Deployment>(options);
    StoreOptions store;
    store.address_ = deployment_->PlatformAddress();
    table_ = std::make_unique<DynamoTable>(deployment_->Client(), store);
  }

  std::vector<Row> Rows(const std::string& aPartition)
  {
    std::optional<ReadReply> reply;
    table_->Query(
      aPartition, "", 1000, [&](ReadReply aReply) { reply = aReply; });
    cr_assert(
      deployment_->WaitFor([&] { return reply.has_value(); }, kLimitSeconds));
    cr_assert(reply->isOk_);
    return reply->rows_;
  }

  // The holder of the lease; empty when it was never held.
  std::string Holder()
  {
    const auto rows = Rows("lease");
    return rows.empty() ? "" : rows.front().values_.at("holder");
  }

  void Declare(unsigned aEntry, const std::string& aVersion)
  {
    const Address address = deployment_->OperatorAddress(aEntry);
    const Json list = deployment_->Get(address, "/apis/v1/ModelVersion");
    Json resource{ { "kind", "ModelVersion" },
                   { "metadata", { { "name", "sheet" } } },
                   { "spec",
                     { { "model", "sheet" },
                       { "version", aVersion },
                       { "pool", "sheet-model" },
                       { "weights", "models/sheet" },
                       { "checksFencing", checksFencing_ } } } };
    for (const Json& item : list.at("items")) {
      resource["metadata"] = item.at("metadata");
    }
    const int status = deployment_->PutResource(aEntry, resource);
    cr_assert(status == 200 || status == 201, "%d", status);
  }

  bool AllLoaded(const std::string& aVersion)
  {
    for (unsigned engine = 0; engine < kEngines; ++engine) {
      const Json state =
        deployment_->Get(deployment_->EngineAddress(engine), "/orders");
      if (state.at("version") != aVersion || state.at("model") != "sheet") {
        return false;
      }
    }
    return true;
  }

  void WaitUntilLoaded(const std::string& aVersion)
  {
    cr_assert(
      deployment_->WaitFor([&] { return AllLoaded(aVersion); }, kLimitSeconds),
      "version %s is not loaded",
      aVersion.c_str());
  }

  std::uint64_t Counter(const char* aName)
  {
    std::uint64_t count = 0;
    for (unsigned engine = 0; engine < kEngines; ++engine) {
      const auto counters =
        deployment_->Get(deployment_->EngineAddress(engine), "/counters");
      count += counters.at(aName).get<std::uint64_t>();
    }
    return count;
  }

  void DelayStore(unsigned aMilliseconds)
  {
    deployment_->Post(deployment_->PlatformAddress(),
                      "/faults",
                      { { "storeDelayMs", aMilliseconds } });
  }

  bool checksFencing_;
  std::unique_ptr<Deployment> deployment_;
  std::unique_ptr<DynamoTable> table_;
};

} // namespace

ParameterizedTestParameters(FleetProcess, PausedHolderDoesNoHarm)
{
  static bool checksFencing[] = { true, false };
  return cr_make_param_array(bool, checksFencing, 2);
}

// Guards against an old model that a paused holder loads when it wakes up, and
// against models that are never loaded. Servers that ignore the fencing number
// have to end with the wanted model.
ParameterizedTest(bool* aChecksFencing, FleetProcess, PausedHolderDoesNoHarm)
{
  FleetWorld world(*aChecksFencing);
  Deployment& deployment = *world.deployment_;
  world.Declare(0, "start");
  world.WaitUntilLoaded("start");
  for (unsigned round = 0; round < kRounds; ++round) {
    const std::string holder = world.Holder();
    unsigned paused = 0;
    while (Deployment::EntryId(paused) != holder) {
      ++paused;
    }
    const unsigned other = (paused + 1) % deployment.Entries();
    const std::string early = "early-" + std::to_string(round);
    const std::string late = "late-" + std::to_string(round);
    // The slow store keeps the claims of orders on their way for long enough
    // to pause the holder between a claim and its order.
    world.DelayStore(600);
    world.Declare(other, early);
    deployment.Loop().RunUntil([] { return false; },
                               std::chrono::milliseconds(450 + 50 * round));
    deployment.Entry(paused).Freeze();
    world.DelayStore(0);
    world.Declare(other, late);
    cr_assert(deployment.WaitFor([&] { return world.Holder() != holder; },
                                 kLimitSeconds),
              "nobody took the lease over");
    world.WaitUntilLoaded(late);
    deployment.Entry(paused).Thaw();
    // Longer than a lease with an order.
    deployment.WaitFor([] { return false; }, 5);
    world.WaitUntilLoaded(late);
    // A holder whose lease has expired sends nothing. Servers that ignore the
    // number would apply it until it is corrected.
    cr_assert_eq(world.Counter("staleOrdersApplied"), 0);
    cr_assert_eq(world.Counter("staleOrdersRefused"), 0);
  }
  // Each order was claimed under a number of its own.
  for (unsigned engine = 0; engine < kEngines; ++engine) {
    std::set<std::string> numbers;
    const auto rows = world.Rows("orders/" + Deployment::EngineId(engine));
    for (const Row& row : rows) {
      cr_assert(numbers.insert(row.key_.sort_).second);
    }
    cr_assert_geq(numbers.size(), kRounds + 1);
  }
}
