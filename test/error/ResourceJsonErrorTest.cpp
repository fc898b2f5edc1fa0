// Invalid resources are refused with the field, the invalid value and what
// would be valid.

#include "configuration/ResourceJson.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

Json
PlainService()
{
  return Json::parse(R"({
    "kind": "Service", "metadata": {"name": "certificate-issue"},
    "spec": {"type": "plain", "pool": "desk", "region": "scot-central",
             "isRepeatable": false, "statusPath": "/status/{id}",
             "routes": [{"method": "get", "pathPrefix": "/lookup",
                         "isRepeatable": true}]}})");
}

// Sets one field and expects exactly one error for it.
void
ExpectError(const char* aPointer,
            const Json& aValue,
            const std::string& aField,
            const std::string& aExpectedText)
{
  Json document = PlainService();
  document[Json::json_pointer(aPointer)] = aValue;
  const ParsedResource parsed = ResourceFromJson(document);
  cr_assert(!parsed.resource_, "%s was accepted", aPointer);
  cr_assert_eq(parsed.errors_.size(), 1, "%s", aPointer);
  cr_assert_eq(parsed.errors_[0].field_, aField);
  const std::string& message = parsed.errors_[0].message_;
  cr_assert(
    message.find(aExpectedText) != std::string::npos, "%s", message.c_str());
  cr_assert_eq(message.back(), '.');
}

} // namespace

Test(ResourceJson, ErrorsNameTheFieldAndTheValidValue)
{
  cr_assert(ResourceFromJson(PlainService()).resource_.has_value());
  ExpectError("/kind", "Servce", "kind", "\"Servce\"; write one of Service");
  ExpectError(
    "/metadata/name", "Bad_Name", "metadata.name", "lower-case letters");
  ExpectError("/metadata/resourceVersion",
              7,
              "metadata.resourceVersion",
              "is 7; write a decimal integer in quotes");
  ExpectError("/spec/colour", "red", "spec.colour", "is unknown");
  ExpectError("/spec/type", "Plain", "spec.type", "one of model, plain");
  ExpectError("/spec/isRepeatable", "no", "spec.isRepeatable", "true or false");
  ExpectError("/spec/class/priority",
              10,
              "spec.class.priority",
              "is 10; write an "
              "integer from 0 to 9");
  ExpectError("/spec/class/priority", 1.5, "spec.class.priority", "integer");
  ExpectError("/spec/class/deadlineS",
              5,
              "spec.class.deadlineS",
              "write \"deadlineMs\" in milliseconds");
  ExpectError("/spec/class/deadlineMs",
              "5s",
              "spec.class.deadlineMs",
              "is \"5s\"; write an integer of milliseconds");
  ExpectError("/spec/routes/0/method", "Get", "spec.routes[0].method", "get");
  ExpectError("/spec/routes/0/method", "LIST", "spec.routes[0].method", "get");
  ExpectError("/spec/routes/0/method", 1, "spec.routes[0].method", "get");
  ExpectError("/spec/routes/0/pathPrefix",
              "lookup",
              "spec.routes[0].pathPrefix",
              "begins with /");
  ExpectError("/spec/statusPath", "/status", "spec.statusPath", "{id}");
  ExpectError("/spec/model", "m", "spec.model", "remove it");
  ExpectError("/spec", 3, "spec", "an object");
}

// An operator must see all errors in one run.
Test(ResourceJson, AllErrorsAreReportedAtOnce)
{
  const ParsedResource parsed = ResourceFromJson(Json::parse(R"({
    "kind": "RoutingPolicy", "metadata": {"name": "-"}, "extra": 1,
    "spec": {"longShare": 2, "slotsPerServer": 0, "maxQueue": -1}})"));
  cr_assert(!parsed.resource_);
  // Invalid: extra, name, longShare, maxQueue, slotsPerServer; missing:
  // service.
  cr_assert_eq(parsed.errors_.size(), 6);
}

// Guards against refusing files that write methods in upper case, as HTTP does.
Test(ResourceJson, MethodsOfRoutesMayBeInUpperCase)
{
  Json document = PlainService();
  for (const char* word : { "DELETE", "delete" }) {
    document["spec"]["routes"][0]["method"] = word;
    const ParsedResource parsed = ResourceFromJson(document);
    cr_assert(parsed.resource_.has_value());
    cr_assert_eq(std::get<Service>(*parsed.resource_).routes_[0].method_,
                 HttpMethod::Delete);
    cr_assert_eq(ToJson(*parsed.resource_)["spec"]["routes"][0]["method"],
                 "delete");
  }
}

Test(ResourceJson, DocumentsThatAreNotObjectsAreRefused)
{
  for (const char* text : { "null", "[]", "3", "\"x\"", "{}" }) {
    cr_assert_eq(ResourceFromJson(Json::parse(text)).errors_.size(), 1);
  }
}

// Guards against accepting a digest in upper case, which would never match the
// digest of a token.
Test(ResourceJson, DigestsAreChecked)
{
  const auto parsed =
    ResourceFromJson({ { "kind", "Workspace" },
                       { "metadata", { { "name", "ridge" } } },
                       { "spec",
                         { { "tokenDigests",
                             Json::array({ std::string(64, 'A'),
                                           std::string(63, 'a') }) } } } });
  cr_assert_eq(parsed.errors_.size(), 2);
  cr_assert_eq(parsed.errors_[1].field_, "spec.tokenDigests[1]");
}

Test(ResourceJson, ReferencesToMissingServicesAreReported)
{
  Configuration configuration;
  RoutingPolicy policy;
  policy.metadata_.name_ = "p";
  policy.service_ = ServiceName("gone");
  PutResource(configuration, policy);
  const auto errors = CheckReferences(configuration);
  cr_assert_eq(errors.size(), 1);
  cr_assert_eq(errors[0].field_, "spec.service");
  cr_assert(FindResource(configuration, ResourceKind::RoutingPolicy, "p"));
  cr_assert(EraseResource(configuration, ResourceKind::RoutingPolicy, "p"));
  cr_assert(!EraseResource(configuration, ResourceKind::RoutingPolicy, "p"));
}
