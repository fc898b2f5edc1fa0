#include "configuration/ResourceJson.h"

#include "configuration/Schema.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

constexpr std::array kKinds{ ResourceKind::Service,
                             ResourceKind::Workspace,
                             ResourceKind::ModelVersion,
                             ResourceKind::RoutingPolicy };

constexpr std::array kMethods{ HttpMethod::Get,    HttpMethod::Post,
                               HttpMethod::Put,    HttpMethod::Delete,
                               HttpMethod::Head,   HttpMethod::Patch,
                               HttpMethod::Options };

std::string
MethodName(HttpMethod aMethod)
{
  std::string methodName = ToString(aMethod);
  for (char& letter : methodName) {
    letter =
      static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return methodName;
}

HttpMethod
ParseMethod(const std::string& aMethodName)
{
  const auto* const found =
    std::find_if(kMethods.begin(), kMethods.end(), [&](HttpMethod aMethod) {
      return MethodName(aMethod) == aMethodName;
    });
  return found == kMethods.end() ? HttpMethod::Post : *found;
}

// Converts the methods of routes to lower case. Files may write them in upper
// case, as in HTTP.
void
LowerRouteMethods(Json& aDocument)
{
  const Json::json_pointer routes("/spec/routes");
  if (!aDocument.contains(routes) || !aDocument[routes].is_array()) {
    return;
  }
  for (Json& route : aDocument[routes]) {
    if (!route.is_object() || !route.contains("method") ||
        !route["method"].is_string()) {
      continue;
    }
    const std::string methodName = route["method"].get<std::string>();
    for (const HttpMethod method : kMethods) {
      if (methodName == ToString(method)) {
        route["method"] = MethodName(method);
      }
    }
  }
}

Duration
ReadMs(const Json& aValue)
{
  return std::chrono::milliseconds(aValue.get<std::int64_t>());
}

std::int64_t
WriteMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

ResourceMetadata
ReadMetadata(const Json& aDocument)
{
  const Json& metadata = aDocument.at("metadata");
  const auto version = metadata.at("resourceVersion").get<std::string>();
  return { metadata.at("name").get<std::string>(),
           Revision(version.empty() ? 0 : std::stoull(version)) };
}

Service
ReadService(const Json& aDocument)
{
  const Json& spec = aDocument.at("spec");
  Service service;
  service.metadata_ = ReadMetadata(aDocument);
  service.type_ =
    spec.at("type") == "plain" ? ServiceType::Plain : ServiceType::Model;
  service.pool_ = PoolName(spec.at("pool").get<std::string>());
  service.region_ = RegionId(spec.at("region").get<std::string>());
  service.model_ = spec.at("model").get<std::string>();
  service.isRepeatable_ = spec.at("isRepeatable").get<bool>();
  for (const Json& route : spec.at("routes")) {
    service.routes_.push_back(
      { ParseMethod(route.at("method").get<std::string>()),
        route.at("pathPrefix").get<std::string>(),
        route.at("isRepeatable").get<bool>() });
  }
  const Json& serviceClass = spec.at("class");
  service.class_.priority_ = serviceClass.at("priority").get<unsigned>();
  service.class_.isLong_ = serviceClass.at("isLong").get<bool>();
  service.class_.firstByteTarget_ =
    ReadMs(serviceClass.at("firstByteTargetMs"));
  service.class_.deadline_ = ReadMs(serviceClass.at("deadlineMs"));
  service.statusPath_ = spec.at("statusPath").get<std::string>();
  return service;
}

Workspace
ReadWorkspace(const Json& aDocument)
{
  const Json& spec = aDocument.at("spec");
  Workspace workspace;
  workspace.metadata_ = ReadMetadata(aDocument);
  workspace.share_ = spec.at("share").get<unsigned>();
  workspace.tokenDigests_ =
    spec.at("tokenDigests").get<std::vector<std::string>>();
  for (const Json& service : spec.at("services")) {
    workspace.services_.emplace_back(service.get<std::string>());
  }
  return workspace;
}

ModelVersion
ReadModelVersion(const Json& aDocument)
{
  const Json& spec = aDocument.at("spec");
  return { ReadMetadata(aDocument),
           spec.at("model").get<std::string>(),
           spec.at("version").get<std::string>(),
           PoolName(spec.at("pool").get<std::string>()),
           spec.at("weights").get<std::string>(),
           spec.at("checksFencing").get<bool>() };
}

RoutingPolicy
ReadRoutingPolicy(const Json& aDocument)
{
  const Json& spec = aDocument.at("spec");
  RoutingPolicy policy;
  policy.metadata_ = ReadMetadata(aDocument);
  policy.service_ = ServiceName(spec.at("service").get<std::string>());
  policy.slotsPerServer_ = spec.at("slotsPerServer").get<unsigned>();
  policy.longShare_ = spec.at("longShare").get<double>();
  policy.slowFactor_ = spec.at("slowFactor").get<double>();
  policy.affinityBound_ = spec.at("affinityBound").get<double>();
  policy.hedgeBudget_ = spec.at("hedgeBudget").get<double>();
  policy.retryBudget_ = spec.at("retryBudget").get<double>();
  policy.maxQueue_ = spec.at("maxQueue").get<unsigned>();
  return policy;
}

Json
WriteSpec(const Service& aService)
{
  Json routes = Json::array();
  for (const ServiceRoute& route : aService.routes_) {
    routes.push_back({ { "method", MethodName(route.method_) },
                       { "pathPrefix", route.pathPrefix_ },
                       { "isRepeatable", route.isRepeatable_ } });
  }
  const ServiceClass& serviceClass = aService.class_;
  return { { "type", aService.type_ == ServiceType::Plain ? "plain" : "model" },
           { "pool", aService.pool_.Value() },
           { "region", aService.region_.Value() },
           { "model", aService.model_ },
           { "isRepeatable", aService.isRepeatable_ },
           { "routes", std::move(routes) },
           { "class",
             { { "priority", serviceClass.priority_ },
               { "isLong", serviceClass.isLong_ },
               { "firstByteTargetMs", WriteMs(serviceClass.firstByteTarget_) },
               { "deadlineMs", WriteMs(serviceClass.deadline_) } } },
           { "statusPath", aService.statusPath_ } };
}

Json
WriteSpec(const Workspace& aWorkspace)
{
  Json services = Json::array();
  for (const ServiceName& service : aWorkspace.services_) {
    services.push_back(service.Value());
  }
  return { { "share", aWorkspace.share_ },
           { "tokenDigests", aWorkspace.tokenDigests_ },
           { "services", std::move(services) } };
}

Json
WriteSpec(const ModelVersion& aVersion)
{
  return { { "model", aVersion.model_ },
           { "version", aVersion.version_ },
           { "pool", aVersion.pool_.Value() },
           { "weights", aVersion.weights_ },
           { "checksFencing", aVersion.checksFencing_ } };
}

Json
WriteSpec(const RoutingPolicy& aPolicy)
{
  return { { "service", aPolicy.service_.Value() },
           { "slotsPerServer", aPolicy.slotsPerServer_ },
           { "longShare", aPolicy.longShare_ },
           { "slowFactor", aPolicy.slowFactor_ },
           { "affinityBound", aPolicy.affinityBound_ },
           { "hedgeBudget", aPolicy.hedgeBudget_ },
           { "retryBudget", aPolicy.retryBudget_ },
           { "maxQueue", aPolicy.maxQueue_ } };
}

// Checks rules between fields of a service, which the field table can't
// express.
void
CheckService(const Service& aService, std::vector<FieldError>& aErrors)
{
  const bool isPlain = aService.type_ == ServiceType::Plain;
  if (!isPlain && aService.model_.empty()) {
    aErrors.push_back({ "spec.model",
                        "The field \"spec.model\" is \"\"; write the model "
                        "name, because \"spec.type\" is \"model\".",
                        0 });
  }
  if (isPlain && !aService.model_.empty()) {
    aErrors.push_back({ "spec.model",
                        "The field \"spec.model\" is \"" + aService.model_ +
                          "\"; remove it, because \"spec.type\" is \"plain\".",
                        0 });
  }
  if (!isPlain && !aService.routes_.empty()) {
    aErrors.push_back({ "spec.routes",
                        "The field \"spec.routes\" has " +
                          std::to_string(aService.routes_.size()) +
                          " elements; remove them, because \"spec.type\" is "
                          "\"model\".",
                        0 });
  }
}

Resource
ReadResource(ResourceKind aKind, const Json& aDocument)
{
  switch (aKind) {
    case ResourceKind::Service:
      return ReadService(aDocument);
    case ResourceKind::Workspace:
      return ReadWorkspace(aDocument);
    case ResourceKind::ModelVersion:
      return ReadModelVersion(aDocument);
    case ResourceKind::RoutingPolicy:
      break;
  }
  return ReadRoutingPolicy(aDocument);
}

FieldError
MakeKindError(const Json& aDocument)
{
  const std::string expected =
    "write one of Service, Workspace, ModelVersion, RoutingPolicy.";
  if (!aDocument.is_object()) {
    return { "",
             "The document is not an object; write kind, metadata and spec.",
             0 };
  }
  if (!aDocument.contains("kind")) {
    return { "kind", "The field \"kind\" is missing; " + expected, 0 };
  }
  const std::string value =
    aDocument.at("kind").dump(-1, ' ', false, Json::error_handler_t::replace);
  return { "kind", "The field \"kind\" is " + value + "; " + expected, 0 };
}

} // namespace

const char*
ToString(ResourceKind aKind)
{
  switch (aKind) {
    case ResourceKind::Service:
      return "Service";
    case ResourceKind::Workspace:
      return "Workspace";
    case ResourceKind::ModelVersion:
      return "ModelVersion";
    case ResourceKind::RoutingPolicy:
      break;
  }
  return "RoutingPolicy";
}

std::optional<ResourceKind>
ParseResourceKind(const std::string& aName)
{
  for (const ResourceKind kind : kKinds) {
    if (aName == ToString(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

ResourceKind
KindOf(const Resource& aResource)
{
  return kKinds.at(aResource.index());
}

const ResourceMetadata&
MetadataOf(const Resource& aResource)
{
  return std::visit(
    [](const auto& aItem) -> const ResourceMetadata& {
      return aItem.metadata_;
    },
    aResource);
}

ParsedResource
ResourceFromJson(const Json& aDocument)
{
  std::optional<ResourceKind> kind;
  if (aDocument.is_object() && aDocument.contains("kind") &&
      aDocument.at("kind").is_string()) {
    kind = ParseResourceKind(aDocument.at("kind").get<std::string>());
  }
  if (!kind) {
    return { std::nullopt, { MakeKindError(aDocument) } };
  }
  Json document = aDocument;
  document.erase("status");
  LowerRouteMethods(document);
  ParsedResource parsed;
  parsed.errors_ = CheckDocument(SchemaOf(*kind), document);
  if (!parsed.errors_.empty()) {
    return parsed;
  }
  Resource resource =
    ReadResource(*kind, WithDefaults(SchemaOf(*kind), document));
  if (const auto* service = std::get_if<Service>(&resource)) {
    CheckService(*service, parsed.errors_);
  }
  if (parsed.errors_.empty()) {
    parsed.resource_ = std::move(resource);
  }
  return parsed;
}

Json
ToJson(const Resource& aResource)
{
  const ResourceMetadata& metadata = MetadataOf(aResource);
  return { { "kind", ToString(KindOf(aResource)) },
           { "metadata",
             { { "name", metadata.name_ },
               { "resourceVersion",
                 std::to_string(metadata.resourceVersion_.Value()) } } },
           { "spec",
             std::visit([](const auto& aItem) { return WriteSpec(aItem); },
                        aResource) } };
}

} // namespace sycamoreward
