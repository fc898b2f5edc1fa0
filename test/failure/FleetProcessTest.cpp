// The fleet duty in a deployment of processes: declared models are loaded, also
// when the holder of the lease is suspended and resumes after its lease
// expired.

#include "store/DynamoTable.h"
#include "support/Deployment.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <set>

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

constexpr unsigned kEngines = 3;
constexpr int kTimeoutSeconds = 30;
constexpr unsigned kRounds = 2;

struct FleetFixture
{
  explicit FleetFixture(bool aChecksFencing)
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
      deployment_->WaitFor([&] { return reply.has_value(); }, kTimeoutSeconds));
    cr_assert(reply->isOk_);
    return reply->rows_;
  }

  // Returns the holder of the lease, or an empty string when it was never held.
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
    cr_assert(deployment_->WaitFor([&] { return AllLoaded(aVersion); },
                                   kTimeoutSeconds),
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

  bool HasClaim(const std::string& aVersion)
  {
    const auto rows = Rows("orders/" + Deployment::EngineId(0));
    return std::any_of(rows.begin(), rows.end(), [&](const Row& aRow) {
      return aRow.values_.at("version") == aVersion;
    });
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

ParameterizedTestParameters(FleetProcess, SuspendedHolderSendsNoStaleOrder)
{
  static bool checksFencing[] = { true, false };
  return cr_make_param_array(bool, checksFencing, 2);
}

// Guards against a suspended holder that orders an outdated model when it
// resumes, and against models that are never loaded. Servers that ignore
// fencing tokens must end up with the desired model, too.
ParameterizedTest(bool* aChecksFencing,
                  FleetProcess,
                  SuspendedHolderSendsNoStaleOrder)
{
  FleetFixture fixture(*aChecksFencing);
  Deployment& deployment = *fixture.deployment_;
  fixture.Declare(0, "start");
  fixture.WaitUntilLoaded("start");
  for (unsigned round = 0; round < kRounds; ++round) {
    const std::string holder = fixture.Holder();
    unsigned suspended = 0;
    while (Deployment::EntryId(suspended) != holder) {
      ++suspended;
    }
    const unsigned other = (suspended + 1) % deployment.Entries();
    const std::string early = "early-" + std::to_string(round);
    const std::string late = "late-" + std::to_string(round);
    // The slow store delays the claims of orders for long enough to suspend the
    // holder between a claim and its order.
    fixture.DelayStore(600);
    fixture.Declare(other, early);
    deployment.Loop().RunUntil([] { return false; },
                               std::chrono::milliseconds(450 + 50 * round));
    deployment.Entry(suspended).Suspend();
    fixture.DelayStore(0);
    fixture.Declare(other, late);
    cr_assert(deployment.WaitFor([&] { return fixture.Holder() != holder; },
                                 kTimeoutSeconds),
              "no other instance took over the lease");
    fixture.WaitUntilLoaded(late);
    deployment.Entry(suspended).Resume();
    // Longer than the lease duration plus the order timeout.
    deployment.WaitFor([] { return false; }, 5);
    fixture.WaitUntilLoaded(late);
    cr_expect(fixture.HasClaim(early),
              "no order was claimed before the suspension");
    // A holder whose lease has expired must not send orders. Servers that
    // ignore fencing tokens would apply them until they are corrected.
    cr_assert_eq(fixture.Counter("staleOrdersApplied"), 0);
    cr_assert_eq(fixture.Counter("staleOrdersRefused"), 0);
  }
  // Each order was claimed with a unique number.
  for (unsigned engine = 0; engine < kEngines; ++engine) {
    std::set<std::string> numbers;
    const auto rows = fixture.Rows("orders/" + Deployment::EngineId(engine));
    for (const Row& row : rows) {
      cr_assert(numbers.insert(row.key_.sort_).second);
    }
    cr_assert_geq(numbers.size(), kRounds + 1);
  }
}
