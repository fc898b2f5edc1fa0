#include "configuration/Schema.h"

#include "configuration/SchemaFields.h"

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

constexpr double kMaxFirstByteMs = 600'000;
constexpr double kMaxDeadlineMs = 86'400'000;

void
AddMetadata(FieldTable& aTable, const char* aKind)
{
  aTable.push_back({ "kind",
                     FieldType::Choice,
                     true,
                     nullptr,
                     0,
                     0,
                     "",
                     { aKind },
                     "Kind of the resource." });
  aTable.push_back({ "metadata",
                     FieldType::Object,
                     true,
                     nullptr,
                     0,
                     0,
                     "",
                     {},
                     "Name and version of the resource." });
  aTable.push_back({ "metadata.name",
                     FieldType::Name,
                     true,
                     nullptr,
                     1,
                     63,
                     "",
                     {},
                     "Name, unique within the kind." });
  aTable.push_back(
    { "metadata.resourceVersion",
      FieldType::Version,
      false,
      "0",
      0,
      0,
      "",
      {},
      "Revision of the last change. A write that expects another version is "
      "refused with 409; \"0\" means that the resource is not stored yet." });
  aTable.push_back({ "spec",
                     FieldType::Object,
                     true,
                     nullptr,
                     0,
                     0,
                     "",
                     {},
                     "Desired state of the resource." });
}

void
AddClass(FieldTable& aTable)
{
  aTable.push_back(OptionalField("spec.class",
                                 FieldType::Object,
                                 Json::object(),
                                 "Urgency of the requests."));
  aTable.push_back(
    RangedField("spec.class.priority",
                FieldType::Integer,
                5,
                0,
                9,
                "",
                "0 is served first; 9 is served last and shed first."));
  aTable.push_back(
    OptionalField("spec.class.isLong",
                  FieldType::Boolean,
                  false,
                  "Whether the requests are long-running; these may fill only "
                  "a fraction of the slots of each server."));
  aTable.push_back(RangedField(
    "spec.class.firstByteTargetMs",
    FieldType::Integer,
    310,
    1,
    kMaxFirstByteMs,
    "ms",
    "Target for the time to first byte, used for hedging and load shedding."));
  aTable.push_back(
    RangedField("spec.class.deadlineMs",
                FieldType::Integer,
                120'000,
                1,
                kMaxDeadlineMs,
                "ms",
                "Time after which the caller no longer needs the response."));
}

void
AddRoutes(FieldTable& aTable)
{
  aTable.push_back(ListField("spec.routes",
                             "Routes of a plain service that differ from its "
                             "default; the first that matches is used."));
  aTable.push_back(
    RequiredField("spec.routes[]", FieldType::Object, "A method and a path."));
  aTable.push_back(
    ChoiceField("spec.routes[].method",
                false,
                "post",
                { "get", "post", "put", "delete", "head", "patch", "options" },
                "Method of the requests, in lower or upper case."));
  aTable.push_back(
    RequiredField("spec.routes[].pathPrefix",
                  FieldType::Path,
                  "Prefix of the path below /services/{service}."));
  aTable.push_back(
    OptionalField("spec.routes[].isRepeatable",
                  FieldType::Boolean,
                  false,
                  "Whether a request of this route may run more than once."));
}

FieldTable
ServiceTable()
{
  FieldTable table;
  AddMetadata(table, "Service");
  table.push_back(
    ChoiceField("spec.type",
                true,
                nullptr,
                { "model", "plain" },
                "model: served by engines through the completions API; "
                "plain: any HTTP service, passed through."));
  table.push_back(
    RequiredField("spec.pool",
                  FieldType::Name,
                  "Pool of the backend servers that serve the service."));
  table.push_back(
    RequiredField("spec.region",
                  FieldType::Name,
                  "Region whose ledger partitions record the requests."));
  table.push_back(
    OptionalField("spec.model",
                  FieldType::Text,
                  "",
                  "Model name sent to engines; required for type model, "
                  "not allowed for type plain."));
  table.push_back(OptionalField("spec.isRepeatable",
                                FieldType::Boolean,
                                true,
                                "Whether a request may run more than once."));
  AddRoutes(table);
  AddClass(table);
  table.push_back(
    OptionalField("spec.statusPath",
                  FieldType::StatusPath,
                  "",
                  "Path on a backend server that reports whether a request "
                  "ran, with {id} replaced by the request id. "
                  "Empty when there is none."));
  return table;
}

FieldTable
WorkspaceTable()
{
  FieldTable table;
  AddMetadata(table, "Workspace");
  table.push_back(
    RangedField("spec.share",
                FieldType::Integer,
                1,
                1,
                1000,
                "",
                "Weight in the division of slots among workspaces."));
  table.push_back(
    ListField("spec.tokenDigests", "Digests of the tokens of the callers."));
  table.push_back(
    RequiredField("spec.tokenDigests[]",
                  FieldType::Digest,
                  "SHA-256 of a token; the token itself is stored nowhere."));
  table.push_back(
    ListField("spec.services",
              "Services that the workspace may call; empty allows all."));
  table.push_back(
    RequiredField("spec.services[]", FieldType::Name, "Name of a Service."));
  return table;
}

FieldTable
ModelVersionTable()
{
  FieldTable table;
  AddMetadata(table, "ModelVersion");
  table.push_back(RequiredField(
    "spec.model", FieldType::Text, "Model name, as in Service spec.model."));
  table.push_back(
    RequiredField("spec.version", FieldType::Text, "Version of the model."));
  table.push_back(
    RequiredField("spec.pool",
                  FieldType::Name,
                  "Pool of the backend servers that load the version."));
  table.push_back(RequiredField(
    "spec.weights", FieldType::Text, "Object in the weight store."));
  table.push_back(
    OptionalField("spec.checksFencing",
                  FieldType::Boolean,
                  true,
                  "Whether the servers of the pool refuse orders with a lower "
                  "fencing number than they have already seen."));
  return table;
}

FieldTable
RoutingPolicyTable()
{
  FieldTable table;
  const auto number = FieldType::Number;
  const auto integer = FieldType::Integer;
  AddMetadata(table, "RoutingPolicy");
  table.push_back(RequiredField(
    "spec.service", FieldType::Name, "Service that the policy applies to."));
  table.push_back(
    RangedField("spec.slotsPerServer",
                integer,
                16,
                1,
                4096,
                "",
                "Number of slots of a backend server that requests may fill."));
  table.push_back(
    RangedField("spec.longShare",
                number,
                0.75,
                0,
                1,
                "",
                "Fraction of the slots that long-running requests may fill."));
  table.push_back(
    RangedField("spec.slowFactor",
                number,
                3.0,
                1,
                100,
                "",
                "A server counts as slow when its time per token exceeds the "
                "median of the pool by this factor."));
  table.push_back(RangedField("spec.affinityBound",
                              number,
                              1.25,
                              1,
                              10,
                              "",
                              "Prefix affinity applies while the load of a "
                              "server is at most this multiple of the mean."));
  table.push_back(
    RangedField("spec.hedgeBudget",
                number,
                0.05,
                0,
                1,
                "",
                "Hedged attempts as a fraction of all requests."));
  table.push_back(RangedField("spec.retryBudget",
                              number,
                              0.10,
                              0,
                              1,
                              "",
                              "Retries as a fraction of all requests."));
  table.push_back(RangedField("spec.maxQueue",
                              integer,
                              256,
                              0,
                              100'000,
                              "",
                              "Maximum number of requests waiting at one entry "
                              "instance; further ones are refused."));
  return table;
}

} // namespace

const FieldTable&
SchemaOf(ResourceKind aKind)
{
  static const FieldTable kService = ServiceTable();
  static const FieldTable kWorkspace = WorkspaceTable();
  static const FieldTable kModelVersion = ModelVersionTable();
  static const FieldTable kRoutingPolicy = RoutingPolicyTable();
  switch (aKind) {
    case ResourceKind::Service:
      return kService;
    case ResourceKind::Workspace:
      return kWorkspace;
    case ResourceKind::ModelVersion:
      return kModelVersion;
    case ResourceKind::RoutingPolicy:
      break;
  }
  return kRoutingPolicy;
}

} // namespace sycamoreward
