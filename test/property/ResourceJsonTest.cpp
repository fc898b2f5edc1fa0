// Conversion from resources to documents and back loses nothing.

#include "configuration/ResourceJson.h"
#include "configuration/Schema.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

std::string
AnyName()
{
  const auto letters = rc::gen::container<std::string>(
    rc::gen::elementOf(std::string("abcdefghijklmnopqrstuvwxyz0123456789")));
  return "a" + (*letters).substr(0, 62);
}

std::string
AnyText()
{
  return "t" +
         (*rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')))
           .substr(0, 200);
}

ResourceMetadata
AnyMetadata()
{
  return { AnyName(),
           Revision(*rc::gen::inRange<std::uint64_t>(0, 1'000'000'000'000)) };
}

double
AnyFraction()
{
  return *rc::gen::inRange(0, 1'000'000) / 1'000'000.0;
}

Service
AnyService()
{
  Service service;
  service.metadata_ = AnyMetadata();
  service.pool_ = PoolName(AnyName());
  service.region_ = RegionId(AnyName());
  service.isRepeatable_ = *rc::gen::arbitrary<bool>();
  service.class_.priority_ = *rc::gen::inRange(0U, 10U);
  service.class_.isLong_ = *rc::gen::arbitrary<bool>();
  service.class_.firstByteTarget_ =
    std::chrono::milliseconds(*rc::gen::inRange(1, 600'001));
  service.class_.deadline_ =
    std::chrono::milliseconds(*rc::gen::inRange(1, 86'400'001));
  if (*rc::gen::arbitrary<bool>()) {
    service.model_ = AnyText();
    return service;
  }
  service.type_ = ServiceType::Plain;
  service.statusPath_ = "/" + AnyName() + "/{id}";
  const auto count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    service.routes_.push_back({ *rc::gen::element(HttpMethod::Get,
                                                  HttpMethod::Post,
                                                  HttpMethod::Put,
                                                  HttpMethod::Delete,
                                                  HttpMethod::Head,
                                                  HttpMethod::Patch,
                                                  HttpMethod::Options),
                                "/" + AnyName(),
                                *rc::gen::arbitrary<bool>() });
  }
  return service;
}

Workspace
AnyWorkspace()
{
  Workspace workspace;
  workspace.metadata_ = AnyMetadata();
  workspace.share_ = *rc::gen::inRange(1U, 1001U);
  const auto count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    workspace.tokenDigests_.push_back(std::string(64, "0123456789abcdef"[i]));
    workspace.services_.emplace_back(AnyName());
  }
  return workspace;
}

RoutingPolicy
AnyPolicy()
{
  RoutingPolicy policy;
  policy.metadata_ = AnyMetadata();
  policy.service_ = ServiceName(AnyName());
  policy.slotsPerServer_ = *rc::gen::inRange(1U, 4097U);
  policy.longShare_ = AnyFraction();
  policy.slowFactor_ = 1 + AnyFraction();
  policy.affinityBound_ = 1 + AnyFraction();
  policy.hedgeBudget_ = AnyFraction();
  policy.retryBudget_ = AnyFraction();
  policy.maxQueue_ = *rc::gen::inRange(0U, 100'001U);
  return policy;
}

Resource
AnyResource()
{
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      return AnyService();
    case 1:
      return AnyWorkspace();
    case 2:
      return ModelVersion{ AnyMetadata(), AnyText(),
                           AnyText(),     PoolName(AnyName()),
                           AnyText(),     *rc::gen::arbitrary<bool>() };
    default:
      return AnyPolicy();
  }
}

} // namespace

// Guards against a field that is written but not read, or read but not written.
Test(ResourceJson, RoundTripKeepsEveryField)
{
  cr_assert(rc::check("document to resource and back", [] {
    const Resource resource = AnyResource();
    const Json document = ToJson(resource);
    const ParsedResource parsed = ResourceFromJson(document);
    for (const FieldError& error : parsed.errors_) {
      RC_LOG() << error.message_ << "\n";
    }
    RC_ASSERT(parsed.resource_.has_value());
    RC_ASSERT(ToJson(*parsed.resource_) == document);
  }));
}

// Guards against a field of the schema that ToJson does not write. A field that
// only ToJson writes is caught by the round-trip test, as an unknown field.
Test(ResourceJson, SchemaAndDocumentsHaveTheSameFields)
{
  cr_assert(rc::check("fields of the schema", [] {
    const Resource resource = AnyResource();
    const FieldTable& table = SchemaOf(KindOf(resource));
    const Json flat = ToJson(resource);
    for (const FieldSpec& field : table) {
      if (field.path_.find('[') == std::string::npos) {
        std::string pointer = "/" + field.path_;
        std::replace(pointer.begin(), pointer.end(), '.', '/');
        RC_ASSERT(flat.contains(Json::json_pointer(pointer)));
      }
    }
  }));
}

// Guards against a default of the schema that differs from the one in
// Resource.h.
Test(ResourceJson, SchemaDefaultsMatchTheStructs)
{
  const auto check = [](const Resource& aResource) {
    Json document = ToJson(aResource);
    const FieldTable& table = SchemaOf(KindOf(aResource));
    for (const FieldSpec& field : table) {
      std::string pointer = "/" + field.path_;
      std::replace(pointer.begin(), pointer.end(), '.', '/');
      const bool isLeaf = field.type_ != FieldType::Object &&
                          field.path_.find('[') == std::string::npos;
      if (isLeaf && !field.isRequired_) {
        cr_assert(document.at(Json::json_pointer(pointer)) == field.default_,
                  "%s",
                  field.path_.c_str());
      }
    }
  };
  check(Service{});
  check(Workspace{});
  check(RoutingPolicy{});
  cr_assert_eq(ServiceRoute{}.method_, HttpMethod::Post);
  cr_assert_eq(ServiceRoute{}.isRepeatable_, false);
}
