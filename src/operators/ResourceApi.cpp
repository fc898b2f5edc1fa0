#include "operators/ResourceApi.h"

#include "base/BoundedJson.h"
#include "operators/ApiReply.h"
#include "operators/OperatorAccess.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

const char* const kApiRoot = "/apis/v1/";

std::string
QueryValue(const HttpServerRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.query_.find(aName);
  return found == aRequest.query_.end() ? "" : found->second;
}

std::optional<std::uint64_t>
ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  return error == std::errc() && rest == end && !aText.empty()
           ? std::optional(number)
           : std::nullopt;
}

std::string
VersionText(Revision aVersion)
{
  return std::to_string(aVersion.Value());
}

Revision
CurrentVersion(const Configuration& aConfiguration,
               ResourceKind aKind,
               const std::string& aName)
{
  const auto found = FindResource(aConfiguration, aKind, aName);
  return found.has_value() ? MetadataOf(*found).resourceVersion_ : Revision(0);
}

// Returns the invalid references that a change would add. Existing ones must
// not block changes of other resources.
std::vector<FieldError>
NewReferenceErrors(const Configuration& aCurrent, const Configuration& aNext)
{
  const auto before = CheckReferences(aCurrent);
  auto after = CheckReferences(aNext);
  const auto isOld = [&](const FieldError& aError) {
    return std::any_of(
      before.begin(), before.end(), [&](const FieldError& aOld) {
        return aOld.field_ == aError.field_ && aOld.message_ == aError.message_;
      });
  };
  after.erase(std::remove_if(after.begin(), after.end(), isOld), after.end());
  return after;
}

void
ReplyNotFound(const std::shared_ptr<HttpExchange>& aExchange)
{
  ReplyError(aExchange,
             404,
             "not_found",
             "There is no resource at " + aExchange->Request().path_ + ".");
}

void
ReplyConflict(const std::shared_ptr<HttpExchange>& aExchange)
{
  ReplyError(aExchange,
             409,
             "conflict",
             "The resource at " + aExchange->Request().path_ +
               " has changed since the version that was read; read it again.");
}

} // namespace

ResourceApi::ResourceApi(EventLoop& aLoop,
                         ConfigurationTask& aConfiguration,
                         ConfigurationStore& aStore,
                         std::vector<OperatorSettings> aOperators)
  : configuration_(aConfiguration)
  , store_(aStore)
  , operators_(std::move(aOperators))
  , watches_(aLoop, aConfiguration)
{
}

ResourceApi::~ResourceApi() = default;

bool
ResourceApi::IsApiPath(const std::string& aPath)
{
  return aPath.rfind(kApiRoot, 0) == 0;
}

void
ResourceApi::Handle(const Exchange& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  const auto role = FindOperatorRole(operators_, request.headers_);
  if (!role.has_value()) {
    ReplyError(aExchange,
               401,
               "unauthorized",
               "The request has no bearer token of an operator.");
    return;
  }
  if (request.method_ != HttpMethod::Get && *role != OperatorRole::Writer) {
    ReplyError(aExchange,
               403,
               "forbidden",
               "This operator may read but not change resources.");
    return;
  }
  const std::string rest =
    IsApiPath(request.path_)
      ? request.path_.substr(std::string(kApiRoot).size())
      : "";
  const auto slash = rest.find('/');
  const auto kind = ParseResourceKind(rest.substr(0, slash));
  Target target;
  target.name_ = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (!kind.has_value() || target.name_.find('/') != std::string::npos) {
    ReplyNotFound(aExchange);
    return;
  }
  target.kind_ = *kind;
  const bool isNamed = !target.name_.empty();
  if (request.method_ == HttpMethod::Get) {
    isNamed ? Get(aExchange, target) : List(aExchange, target);
  } else if (request.method_ == HttpMethod::Put && isNamed) {
    Put(aExchange, target);
  } else if (request.method_ == HttpMethod::Delete && isNamed) {
    Delete(aExchange, target);
  } else {
    ReplyError(aExchange,
               405,
               "method_not_allowed",
               std::string("The method ") + ToString(request.method_) +
                 " can't be used at " + request.path_ + ".");
  }
}

Json
ResourceApi::Document(const Resource& aResource) const
{
  Json document = ToJson(aResource);
  document["status"]["inForce"] = configuration_.InForce();
  return document;
}

void
ResourceApi::List(const Exchange& aExchange, const Target& aTarget)
{
  const HttpServerRequest& request = aExchange->Request();
  if (QueryValue(request, "watch") == "true") {
    const auto after = ParseNumber(QueryValue(request, "resourceVersion"));
    if (!after.has_value()) {
      ReplyError(aExchange,
                 400,
                 "invalid_request",
                 "A watch needs resourceVersion=N, with N from a list.");
      return;
    }
    watches_.Add(aExchange, aTarget.kind_, Revision(*after));
    return;
  }
  const auto current = configuration_.Current();
  Json items = Json::array();
  for (const ConfigChange& change : ResourcesOf(*current)) {
    if (change.kind_ == aTarget.kind_) {
      items.push_back(Document(*change.resource_));
    }
  }
  ReplyJson(aExchange,
            200,
            { { "kind", std::string(ToString(aTarget.kind_)) + "List" },
              { "metadata",
                { { "resourceVersion", VersionText(current->revision_) } } },
              { "items", std::move(items) } });
}

void
ResourceApi::Get(const Exchange& aExchange, const Target& aTarget)
{
  const auto found =
    FindResource(*configuration_.Current(), aTarget.kind_, aTarget.name_);
  if (!found.has_value()) {
    ReplyNotFound(aExchange);
    return;
  }
  ReplyJson(aExchange, 200, Document(*found));
}

void
ResourceApi::Put(const Exchange& aExchange, const Target& aTarget)
{
  const Json document = ParseStrictJson(aExchange->Request().body_);
  if (document.is_discarded()) {
    ReplyError(
      aExchange, 400, "invalid_request", "The body is not a JSON document.");
    return;
  }
  ParsedResource parsed = ResourceFromJson(document);
  if (parsed.resource_.has_value() &&
      (KindOf(*parsed.resource_) != aTarget.kind_ ||
       MetadataOf(*parsed.resource_).name_ != aTarget.name_)) {
    parsed.errors_.push_back(
      { "metadata.name",
        "The kind and name of the document differ from those in the path " +
          aExchange->Request().path_ + ".",
        0 });
  } else if (parsed.resource_.has_value()) {
    const auto current = configuration_.Current();
    Configuration next = *current;
    PutResource(next, *parsed.resource_);
    parsed.errors_ = NewReferenceErrors(*current, next);
  }
  if (!parsed.errors_.empty()) {
    ReplyError(aExchange,
               422,
               "invalid_resource",
               "The document is invalid; details has one entry for each error.",
               parsed.errors_);
    return;
  }
  CommitRequest request;
  request.kind_ = aTarget.kind_;
  request.name_ = aTarget.name_;
  request.resource_ = parsed.resource_;
  request.expected_ = MetadataOf(*parsed.resource_).resourceVersion_;
  Commit(aExchange, request);
}

// Deletes the version given in the query, or else the version in force on this
// instance.
void
ResourceApi::Delete(const Exchange& aExchange, const Target& aTarget)
{
  const auto current = configuration_.Current();
  CommitRequest request;
  request.kind_ = aTarget.kind_;
  request.name_ = aTarget.name_;
  request.expected_ = CurrentVersion(*current, aTarget.kind_, aTarget.name_);
  if (request.expected_.Value() == 0) {
    ReplyNotFound(aExchange);
    return;
  }
  const std::string text = QueryValue(aExchange->Request(), "resourceVersion");
  if (!text.empty()) {
    const auto version = ParseNumber(text);
    if (!version.has_value()) {
      ReplyError(aExchange,
                 400,
                 "invalid_request",
                 "The resourceVersion \"" + text + "\" is not a number.");
      return;
    }
    request.expected_ = Revision(*version);
  }
  Configuration next = *current;
  EraseResource(next, aTarget.kind_, aTarget.name_);
  const auto errors = NewReferenceErrors(*current, next);
  if (!errors.empty()) {
    ReplyError(aExchange,
               422,
               "in_use",
               "Other resources refer to this one; details names them.",
               errors);
    return;
  }
  Commit(aExchange, request);
}

void
ResourceApi::DryRun(const Exchange& aExchange, const CommitRequest& aRequest)
{
  const Revision version =
    CurrentVersion(*configuration_.Current(), aRequest.kind_, aRequest.name_);
  if (version != aRequest.expected_) {
    ReplyConflict(aExchange);
    return;
  }
  ReplyJson(aExchange,
            200,
            aRequest.resource_.has_value() ? Document(*aRequest.resource_)
                                           : Json::object());
}

void
ResourceApi::Commit(const Exchange& aExchange, const CommitRequest& aRequest)
{
  if (QueryValue(aExchange->Request(), "dryRun") == "true") {
    DryRun(aExchange, aRequest);
    return;
  }
  store_.Commit(aRequest,
                [this, aExchange, aRequest, weak = std::weak_ptr<bool>(alive_)](
                  const CommitResult& aResult) {
                  if (!weak.expired()) {
                    OnCommitted(aExchange, aRequest, aResult);
                  }
                });
}

void
ResourceApi::OnCommitted(const Exchange& aExchange,
                         const CommitRequest& aRequest,
                         const CommitResult& aResult)
{
  switch (aResult.status_) {
    case CommitStatus::Committed:
      configuration_.ApplyCommittedChange(aResult.change_);
      if (aResult.change_.resource_.has_value()) {
        ReplyJson(aExchange,
                  aRequest.expected_.Value() == 0 ? 201 : 200,
                  Document(*aResult.change_.resource_));
        return;
      }
      ReplyJson(aExchange,
                200,
                { { "kind", ToString(aRequest.kind_) },
                  { "metadata",
                    { { "name", aRequest.name_ },
                      { "resourceVersion",
                        VersionText(aResult.change_.revision_) } } } });
      return;
    case CommitStatus::Conflict:
      ReplyConflict(aExchange);
      return;
    case CommitStatus::Unavailable:
      ReplyError(aExchange,
                 503,
                 "store_unavailable",
                 "The table can't be reached; nothing was changed.");
      return;
    case CommitStatus::Unknown:
      ReplyError(aExchange,
                 504,
                 "outcome_unknown",
                 "The table did not confirm whether the change was committed; "
                 "read the resource before trying again.");
      return;
  }
}

} // namespace sycamoreward
