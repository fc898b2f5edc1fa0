#include "Apply.h"

#include <algorithm>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{ 250 };

std::uint64_t
ReadVersion(const Json& aDocument)
{
  const Json::json_pointer pointer("/metadata/resourceVersion");
  if (!aDocument.is_object() || !aDocument.contains(pointer)) {
    return 0;
  }
  const Json& value = aDocument[pointer];
  if (value.is_number_unsigned()) {
    return value.get<std::uint64_t>();
  }
  return value.is_string()
           ? std::strtoull(
               value.get_ref<const std::string&>().c_str(), nullptr, 10)
           : 0;
}

// Sends the changes of a plan and waits for them.
class Applier
{
public:
  Applier(ApiClient& aClient,
          const std::vector<Change>& aPlan,
          const CtlOptions& aOptions,
          std::ostream& aOut,
          std::ostream& aErr)
    : client_(aClient)
    , plan_(aPlan)
    , options_(aOptions)
    , out_(aOut)
    , err_(aErr)
  {
  }

  int Run()
  {
    for (const Change& change : plan_) {
      if (change.action_ == ChangeAction::None) {
        Report(change, "is unchanged");
        RecordRevision(change,
                       std::strtoull(change.version_.c_str(), nullptr, 10));
        continue;
      }
      try {
        Send(change);
      } catch (const ApiError& error) {
        if (options_.isDryRun_ && IsResolvedByPlan(change, error)) {
          Report(change, ResultText(change));
          continue;
        }
        hasFailed_ = true;
        ReportError(change, error);
      }
    }
    if (options_.isWait_ && !options_.isDryRun_ && !Wait()) {
      hasFailed_ = true;
    }
    return hasFailed_ ? 2 : 0;
  }

private:
  void Report(const Change& aChange, const std::string& aText)
  {
    out_ << ToString(aChange.kind_) << "/" << aChange.name_ << " " << aText
         << (options_.isDryRun_ ? " (dry run)" : "") << "\n";
  }

  void ReportError(const Change& aChange, const ApiError& aError)
  {
    err_ << ToString(aChange.kind_) << "/" << aChange.name_ << ": "
         << aError.what() << "\n";
    for (FieldError detail : aError.Details()) {
      if (!aChange.declared_) {
        err_ << "  " << detail.field_ << ": " << detail.message_ << "\n";
        continue;
      }
      const YamlDocument& document = aChange.declared_->document_;
      detail.line_ = LineOf(document, detail.field_);
      err_ << ToString(FileError{ document.file_, detail }) << "\n";
    }
  }

  static std::string ResultText(const Change& aChange)
  {
    if (aChange.action_ == ChangeAction::Delete) {
      return "deleted";
    }
    return aChange.action_ == ChangeAction::Create ? "created" : "updated";
  }

  // A dry run sends each change separately, so the server reports references
  // that earlier changes of the plan would have resolved. Returns whether all
  // faults in aError are of this kind.
  bool IsResolvedByPlan(const Change& aChange, const ApiError& aError)
  {
    std::vector<FieldError> resolved;
    if (aChange.declared_) {
      Configuration changeOnly;
      PutResource(changeOnly, aChange.declared_->resource_);
      Configuration withPlan = changeOnly;
      for (const Change& change : plan_) {
        if (change.declared_ && change.kind_ == ResourceKind::Service) {
          PutResource(withPlan, change.declared_->resource_);
        }
      }
      resolved =
        ExcludeErrors(CheckReferences(changeOnly), CheckReferences(withPlan));
    } else {
      resolved = CheckReferences(ReadDeletedResources());
    }
    return !aError.Details().empty() &&
           ExcludeErrors(aError.Details(), resolved).empty();
  }

  static std::vector<FieldError> ExcludeErrors(
    std::vector<FieldError> aErrors,
    const std::vector<FieldError>& aResolved)
  {
    const auto isResolved = [&](const FieldError& aError) {
      return std::any_of(
        aResolved.begin(), aResolved.end(), [&](const FieldError& aOther) {
          return aOther.field_ == aError.field_ &&
                 aOther.message_ == aError.message_;
        });
    };
    aErrors.erase(std::remove_if(aErrors.begin(), aErrors.end(), isResolved),
                  aErrors.end());
    return aErrors;
  }

  // Reads from the server the resources other than services that the plan
  // deletes.
  Configuration ReadDeletedResources()
  {
    Configuration deleted;
    for (const Change& change : plan_) {
      if (change.action_ != ChangeAction::Delete ||
          change.kind_ == ResourceKind::Service) {
        continue;
      }
      const ApiReply reply = client_.Call(
        HttpMethod::Get, ResourceTarget(change.kind_, change.name_));
      const ParsedResource parsed = ResourceFromJson(reply.body_);
      if (reply.status_ == 200 && parsed.resource_) {
        PutResource(deleted, *parsed.resource_);
      }
    }
    return deleted;
  }

  // Records the highest revision to wait for, and a resource whose status shows
  // the revisions in force.
  void RecordRevision(const Change& aChange, std::uint64_t aRevision)
  {
    revision_ = std::max(revision_, aRevision);
    if (aChange.action_ != ChangeAction::Delete) {
      statusTarget_ = ResourceTarget(aChange.kind_, aChange.name_);
    }
  }

  void Send(const Change& aChange)
  {
    const bool isDelete = aChange.action_ == ChangeAction::Delete;
    std::string target = ResourceTarget(aChange.kind_, aChange.name_);
    if (options_.isDryRun_) {
      target += "?dryRun=true";
    }
    // A deletion by --prune requires that the resource still has the version
    // that was listed.
    if (isDelete && aChange.version_ != "0") {
      target += options_.isDryRun_ ? "&" : "?";
      target += "resourceVersion=" + aChange.version_;
    }
    std::string body;
    if (!isDelete) {
      Json document = ToJson(aChange.declared_->resource_);
      Json& version = document["metadata"]["resourceVersion"];
      // A file that states a version was edited from that version, so it is
      // sent as it is.
      if (version == "0") {
        version = aChange.version_;
      }
      body = document.dump();
    }
    const HttpMethod method = isDelete ? HttpMethod::Delete : HttpMethod::Put;
    const ApiReply reply = client_.Call(method, target, body);
    if (reply.status_ == 409) {
      HandleConflict(aChange);
      return;
    }
    if (isDelete && reply.status_ == 404) {
      Report(aChange, "is gone already");
      return;
    }
    if (reply.status_ < 200 || reply.status_ > 299) {
      throw ApiError(ToString(method), reply);
    }
    const std::uint64_t revision = ReadVersion(reply.body_);
    const std::string text = ResultText(aChange);
    Report(aChange,
           revision == 0 || options_.isDryRun_
             ? text
             : text + " at revision " + std::to_string(revision));
    RecordRevision(aChange, revision);
  }

  // Called after a 409: another operator changed the resource since it was
  // read. Their change is never overwritten.
  void HandleConflict(const Change& aChange)
  {
    const ApiReply reply = client_.Call(
      HttpMethod::Get, ResourceTarget(aChange.kind_, aChange.name_));
    if (reply.status_ != 404 && (reply.status_ < 200 || reply.status_ > 299)) {
      throw ApiError("read again", reply);
    }
    const std::string name =
      std::string(ToString(aChange.kind_)) + "/" + aChange.name_;
    if (reply.status_ == 404) {
      hasFailed_ = aChange.action_ != ChangeAction::Delete || hasFailed_;
      err_ << name
           << ": The resource was deleted by another operator while this "
              "command ran; run diff, then apply again.\n";
      return;
    }
    const std::uint64_t version = ReadVersion(reply.body_);
    if (aChange.declared_ && NormalizedSpec(reply.body_) ==
                               ToJson(aChange.declared_->resource_)["spec"]) {
      Report(aChange,
             "was changed to the same spec by another operator at revision " +
               std::to_string(version));
      RecordRevision(aChange, version);
      return;
    }
    hasFailed_ = true;
    err_ << name << ": The resource was changed by another operator (read at "
         << "version " << aChange.version_ << ", now " << version
         << ") and was not overwritten; run diff, then apply again.\n";
  }

  bool Wait()
  {
    if (statusTarget_.empty()) {
      err_
        << "No resource is left whose status could be read, so --wait has no "
           "effect.\n";
      return true;
    }
    std::map<std::string, std::uint64_t> lastPrinted;
    const auto maxPolls = std::max<std::int64_t>(
      1, options_.waitTimeout_ / Duration(kPollInterval));
    for (std::int64_t i = 0; i < maxPolls; ++i) {
      const InForce now = ReadInForce(
        client_.CallOrThrow(HttpMethod::Get, statusTarget_), revision_);
      if (now.revisions_ != lastPrinted || now.isEverywhere_) {
        PrintProgress(now);
        lastPrinted = now.revisions_;
      }
      if (now.isEverywhere_) {
        return true;
      }
      client_.RunLoopFor(kPollInterval);
    }
    err_ << "Revision " << revision_ << " was not in force in every failure "
         << "domain within " << options_.waitTimeout_ / std::chrono::seconds(1)
         << " s; the change stays accepted.\n";
    return false;
  }

  void PrintProgress(const InForce& aNow)
  {
    const auto upToDate = std::count_if(
      aNow.revisions_.begin(), aNow.revisions_.end(), [&](const auto& aEntry) {
        return aEntry.second >= revision_;
      });
    out_ << "revision " << revision_ << " in force in " << upToDate << " of "
         << aNow.revisions_.size() << " failure domains:";
    for (const auto& [domain, revision] : aNow.revisions_) {
      out_ << " " << domain << "=" << revision;
    }
    out_ << std::endl; // NOLINT: flushed to show progress
  }

  ApiClient& client_;
  const std::vector<Change>& plan_;
  const CtlOptions& options_;
  std::ostream& out_;
  std::ostream& err_;
  bool hasFailed_ = false;
  std::uint64_t revision_ = 0;
  std::string statusTarget_;
};

} // namespace

int
ApplyPlan(ApiClient& aClient,
          const std::vector<Change>& aPlan,
          const CtlOptions& aOptions,
          std::ostream& aOut,
          std::ostream& aErr)
{
  return Applier(aClient, aPlan, aOptions, aOut, aErr).Run();
}

InForce
ReadInForce(const Json& aDocument, std::uint64_t aRevision)
{
  InForce result;
  const Json::json_pointer pointer("/status/inForce");
  if (!aDocument.is_object() || !aDocument.contains(pointer) ||
      !aDocument[pointer].is_object()) {
    return result;
  }
  for (const auto& [domain, value] : aDocument[pointer].items()) {
    std::uint64_t revision = 0;
    if (value.is_number_unsigned()) {
      revision = value.get<std::uint64_t>();
    } else if (value.is_string()) {
      revision =
        std::strtoull(value.get_ref<const std::string&>().c_str(), nullptr, 10);
    }
    result.revisions_[domain] = revision;
  }
  result.isEverywhere_ =
    !result.revisions_.empty() &&
    std::all_of(result.revisions_.begin(),
                result.revisions_.end(),
                [&](const auto& aEntry) { return aEntry.second >= aRevision; });
  return result;
}

} // namespace sycamoreward
