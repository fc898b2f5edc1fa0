#include "settings/SettingsTable.h"

#include "configuration/SchemaFields.h"

namespace sycamoreward {

namespace {

constexpr auto kObject = FieldType::Object;
constexpr auto kAddress = FieldType::SocketAddress;
constexpr auto kName = FieldType::Name;

// An address that this process connects to, so its port can't be 0.
FieldSpec
RemoteAddress(FieldSpec aField)
{
  aField.min_ = 1;
  return aField;
}

// An address that this process listens on. Port 0 is allowed.
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
  aTable.push_back(
    RequiredField("instance", kObject, "Identity of this instance."));
  aTable.push_back(RequiredField(
    "instance.id", kName, "Id of the instance, as the platform names it."));
  aTable.push_back(RequiredField("instance.failureDomain",
                                 kName,
                                 "Failure domain of this instance; all "
                                 "instances in it can be lost at once."));
  aTable.push_back(RequiredField("instance.region",
                                 kName,
                                 "Region of this instance: a group of failure "
                                 "domains with low latency between them."));
  aTable.push_back(RequiredField(
    "listen",
    kObject,
    "Addresses of this instance, as reachable from other processes."));
  aTable.push_back(
    ListenAddress("listen.callers",
                  "Callers' API. Port 0 lets the system pick a port, for "
                  "tests; this also holds for the two addresses below."));
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
  aTable.push_back(ListField("seeds", "Instances to contact at startup."));
  aTable.push_back(RemoteAddress(
    RequiredField("seeds[]", kAddress, "Peer address of another instance.")));
}

void
AddLogAndOperators(FieldTable& aTable)
{
  aTable.push_back(
    OptionalField("log", kObject, nlohmann::json::object(), "Logs."));
  aTable.push_back(ChoiceField("log.format",
                               false,
                               "json",
                               { "text", "json" },
                               "Format of the log lines."));
  aTable.push_back(ChoiceField(
    "log.level",
    false,
    "info",
    { "trace", "debug", "info", "warning", "error", "critical", "off" },
    "Lowest level that is logged. SIGHUP reloads it."));
  aTable.push_back(
    ListField("operators", "Operators, by the digests of their tokens."));
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
  aTable.push_back(
    OptionalField("fleet",
                  kObject,
                  nlohmann::json::object(),
                  "Timing of the lease and the orders of the fleet task; must "
                  "be the same on every instance."));
  aTable.push_back(
    RangedField("fleet.leaseMs",
                FieldType::Integer,
                15'000,
                500,
                600'000,
                "ms",
                "Time for which the lease is held after its last renewal; must "
                "exceed the sum of the two settings below."));
  aTable.push_back(RangedField("fleet.renewMs",
                               FieldType::Integer,
                               5'000,
                               50,
                               300'000,
                               "ms",
                               "Time between two renewals of the lease."));
  aTable.push_back(
    RangedField("fleet.orderTimeoutMs",
                FieldType::Integer,
                5'000,
                50,
                300'000,
                "ms",
                "Maximum time until a backend server acts on an order."));
}

void
AddBounds(FieldTable& aTable)
{
  const auto integer = FieldType::Integer;
  const auto empty = nlohmann::json::object();
  aTable.push_back(OptionalField("limits", kObject, empty, "Bounds."));
  aTable.push_back(
    RangedField("limits.maxConnections",
                integer,
                4096,
                1,
                65'536,
                "",
                "Maximum number of open connections of callers."));
  aTable.push_back(RangedField("limits.maxRequests",
                               integer,
                               2048,
                               1,
                               65'536,
                               "",
                               "Maximum number of requests in progress."));
  aTable.push_back(RangedField("limits.maxBodyBytes",
                               integer,
                               4'194'304,
                               1024,
                               67'108'864,
                               "bytes",
                               "Maximum size of the body of a request."));
  aTable.push_back(RangedField("limits.memoryBytes",
                               integer,
                               0,
                               0,
                               1'000'000'000'000,
                               "bytes",
                               "Memory of this process, of which callers' "
                               "requests may hold a part. 0 takes the memory "
                               "that the system allows the process."));
  aTable.push_back(OptionalField(
    "drain", kObject, empty, "Draining after SIGTERM or a reclaim notice."));
  aTable.push_back(RangedField("drain.idleConnectionMs",
                               integer,
                               1000,
                               0,
                               60'000,
                               "ms",
                               "Time for which an idle connection of a caller "
                               "stays open after draining starts."));
  aTable.push_back(RangedField("drain.handOverReserveMs",
                               integer,
                               500,
                               0,
                               60'000,
                               "ms",
                               "Part of the time of a reclaim notice that is "
                               "reserved for handing over requests."));
  AddFleet(aTable);
  aTable.push_back(OptionalField("trace", kObject, empty, "Traces."));
  aTable.push_back(RemoteAddress(OptionalField(
    "trace.export",
    kAddress,
    nullptr,
    "Receiver of traces as OTLP JSON. If it is omitted, no traces are sent.")));
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
