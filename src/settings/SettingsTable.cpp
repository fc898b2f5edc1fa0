#include "settings/SettingsTable.h"

#include "configuration/SchemaFields.h"

namespace sycamoreward {

namespace {

constexpr auto kObject = FieldType::Object;
constexpr auto kAddress = FieldType::SocketAddress;
constexpr auto kName = FieldType::Name;

// An address that others connect to, so its port can't be 0.
FieldSpec
RemoteAddress(FieldSpec aField)
{
  aField.min_ = 1;
  return aField;
}

// An address that this process listens on.
FieldSpec
ListenAddress(const char* aPath, const char* aDoc)
{
  FieldSpec field = RequiredField(aPath, kAddress, aDoc);
  field.min_ = 0;
  return field;
}

void
AddIdentity(FieldTable& aTable)
{
  aTable.push_back(RequiredField("instance", kObject, "Who this process is."));
  aTable.push_back(RequiredField(
    "instance.id", kName, "Id of the instance, as the platform names it."));
  aTable.push_back(RequiredField("instance.failureDomain",
                                 kName,
                                 "Zone that can be lost at once with all "
                                 "instances in it."));
  aTable.push_back(RequiredField(
    "instance.region", kName, "Group of failure domains with short links."));
  aTable.push_back(RequiredField(
    "listen", kObject, "Addresses of this instance, as others reach it."));
  aTable.push_back(
    ListenAddress("listen.callers",
                  "Callers' API. Port 0 lets the system pick one, for "
                  "tests; so it does for the two below."));
  aTable.push_back(ListenAddress(
    "listen.operators", "Operators' API, /metrics, /healthz, /readyz."));
  aTable.push_back(
    ListenAddress("listen.peers", "Connections between entry instances."));
}

void
AddPlatform(FieldTable& aTable)
{
  aTable.push_back(
    RequiredField("platform", kObject, "Services of the platform."));
  aTable.push_back(RemoteAddress(
    RequiredField("platform.table", kAddress, "Transactional table.")));
  aTable.push_back(OptionalField(
    "platform.tableName", kName, "sycamoreward", "Name of the table."));
  aTable.push_back(RemoteAddress(
    RequiredField("platform.objectStore", kAddress, "Object store.")));
  aTable.push_back(RequiredField(
    "platform.bucket", kName, "Bucket of the object store for the journal."));
  aTable.push_back(RemoteAddress(RequiredField(
    "platform.instanceList", kAddress, "List of live and leaving instances.")));
  aTable.push_back(RemoteAddress(
    OptionalField("platform.notices",
                  kAddress,
                  nullptr,
                  "Instance metadata service, which announces reclaims. "
                  "Omit it on an instance that is not reclaimable.")));
  aTable.push_back(OptionalField("platform.noticePath",
                                 FieldType::Path,
                                 "/latest/meta-data/spot/instance-action",
                                 "Path of the reclaim notice."));
  aTable.push_back(ListField("seeds", "Instances to ask at the start."));
  aTable.push_back(RemoteAddress(RequiredField(
    "seeds[]", kAddress, "Address for peers of another instance.")));
}

void
AddLogAndOperators(FieldTable& aTable)
{
  aTable.push_back(
    OptionalField("log", kObject, nlohmann::json::object(), "Logs."));
  aTable.push_back(ChoiceField(
    "log.format", false, "json", { "text", "json" }, "Form of the lines."));
  aTable.push_back(ChoiceField(
    "log.level",
    false,
    "info",
    { "trace", "debug", "info", "warning", "error", "critical", "off" },
    "Lowest level that is written. SIGHUP reads it "
    "again."));
  aTable.push_back(ListField("operators", "Tokens of operators."));
  aTable.push_back(
    RequiredField("operators[]", kObject, "A token and its role."));
  aTable.push_back(RequiredField(
    "operators[].tokenDigest", FieldType::Digest, "SHA-256 of the token."));
  aTable.push_back(
    ChoiceField("operators[].role",
                true,
                nullptr,
                { "reader", "writer" },
                "reader: reads and watches; writer: also changes resources."));
}

void
AddFleet(FieldTable& aTable)
{
  aTable.push_back(OptionalField("fleet",
                                 kObject,
                                 nlohmann::json::object(),
                                 "Lease and orders of the fleet task; the same "
                                 "on each instance."));
  aTable.push_back(RangedField("fleet.leaseMs",
                               FieldType::Integer,
                               15'000,
                               500,
                               600'000,
                               "ms",
                               "Time for which the lease is held after its "
                               "last renewal; longer than the two below "
                               "together."));
  aTable.push_back(RangedField("fleet.renewMs",
                               FieldType::Integer,
                               5'000,
                               50,
                               300'000,
                               "ms",
                               "Time between two renewals of the lease."));
  aTable.push_back(RangedField("fleet.orderTimeoutMs",
                               FieldType::Integer,
                               5'000,
                               50,
                               300'000,
                               "ms",
                               "Longest time until a backend server acts on "
                               "an order."));
}

void
AddBounds(FieldTable& aTable)
{
  const auto integer = FieldType::Integer;
  const auto empty = nlohmann::json::object();
  aTable.push_back(OptionalField("limits", kObject, empty, "Bounds."));
  aTable.push_back(RangedField("limits.maxConnections",
                               integer,
                               4096,
                               1,
                               65'536,
                               "",
                               "Connections of callers open at once."));
  aTable.push_back(RangedField("limits.maxRequests",
                               integer,
                               2048,
                               1,
                               65'536,
                               "",
                               "Requests in progress at once."));
  aTable.push_back(RangedField("limits.maxBodyBytes",
                               integer,
                               4'194'304,
                               1024,
                               67'108'864,
                               "bytes",
                               "Longest body of a request."));
  aTable.push_back(OptionalField("drain",
                                 kObject,
                                 empty,
                                 "Leaving after SIGTERM or a "
                                 "reclaim notice."));
  aTable.push_back(RangedField("drain.idleConnectionMs",
                               integer,
                               1000,
                               0,
                               60'000,
                               "ms",
                               "Time that an idle caller's connection stays "
                               "open after the drain began."));
  aTable.push_back(RangedField("drain.handOverReserveMs",
                               integer,
                               500,
                               0,
                               60'000,
                               "ms",
                               "Part of a reclaim notice that is kept for "
                               "handing requests over."));
  AddFleet(aTable);
  aTable.push_back(OptionalField("trace", kObject, empty, "Traces."));
  aTable.push_back(RemoteAddress(
    OptionalField("trace.export",
                  kAddress,
                  nullptr,
                  "Receiver of OTLP JSON; omitted, none are sent.")));
}

FieldTable
MakeSettingsTable()
{
  FieldTable table;
  AddIdentity(table);
  AddPlatform(table);
  AddLogAndOperators(table);
  AddBounds(table);
  return table;
}

} // namespace

const FieldTable&
SettingsTable()
{
  static const FieldTable kTable = MakeSettingsTable();
  return kTable;
}

std::string
ReferencePage()
{
  std::string page =
    "# Reference of resources and settings\n\n"
    "This page is the output of `sycamorewardctl reference`. Don't edit it;\n"
    "change the tables in `src/configuration/Schema.cpp` and\n"
    "`src/settings/SettingsTable.cpp`.\n\n"
    "Unknown fields, duplicate keys, wrong types and values out of range are\n"
    "refused, all at once, with file, line and field.\n\n";
  for (const auto kind : { ResourceKind::Service,
                           ResourceKind::Workspace,
                           ResourceKind::ModelVersion,
                           ResourceKind::RoutingPolicy }) {
    page += "## " + std::string(ToString(kind)) + "\n\n" +
            DescribeFields(SchemaOf(kind)) + "\n";
  }
  return page + "## Settings of sycamorewardd\n\n" +
         DescribeFields(SettingsTable());
}

} // namespace sycamoreward
