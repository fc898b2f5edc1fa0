#include "Commands.h"

#include "Apply.h"
#include "ExplainRequest.h"
#include "JournalVerify.h"
#include "Output.h"
#include "Watch.h"

#include "configuration/Schema.h"
#include "settings/Settings.h"
#include "settings/SettingsTable.h"
#include "settings/YamlWriter.h"

#include <algorithm>
#include <cctype>
#include <fstream>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

struct Context
{
  const CtlOptions& options_;
  std::ostream& out_;
  std::ostream& err_;
};

std::string
ReadToken(const std::string& aFile)
{
  if (aFile.empty()) {
    return "";
  }
  std::ifstream input(aFile);
  std::string token;
  input >> token;
  if (token.empty()) {
    throw UserError("read token",
                    aFile,
                    "The token file \"" + aFile +
                      "\" can't be read or is empty; its first line must hold "
                      "the token.");
  }
  return token;
}

// Accepts "Service", "service" and "services".
ResourceKind
ParseKind(const std::string& aText)
{
  const auto toLower = [](std::string aName) {
    std::transform(aName.begin(), aName.end(), aName.begin(), [](char aChar) {
      return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
    });
    return aName;
  };
  const std::string text = toLower(aText);
  for (const auto kind : { ResourceKind::Service,
                           ResourceKind::Workspace,
                           ResourceKind::ModelVersion,
                           ResourceKind::RoutingPolicy }) {
    const std::string name = toLower(ToString(kind));
    const std::string plural =
      kind == ResourceKind::RoutingPolicy ? "routingpolicies" : name + "s";
    if (text == name || text == plural) {
      return kind;
    }
  }
  throw UserError("read kind",
                  "",
                  "The kind \"" + aText +
                    "\" is unknown; valid are Service, Workspace, "
                    "ModelVersion, RoutingPolicy.");
}

int
PrintFaults(const std::vector<FileError>& aFaults, std::ostream& aErr)
{
  for (const FileError& fault : aFaults) {
    aErr << ToString(fault) << "\n";
  }
  aErr << aFaults.size() << (aFaults.size() == 1 ? " fault" : " faults")
       << " found; nothing was changed.\n";
  return kExitError;
}

int
ValidateSettings(const Context& aContext)
{
  std::vector<FileError> faults;
  const auto files = FindFiles(aContext.options_.files_);
  for (const std::string& file : files) {
    try {
      LoadSettings(file);
    } catch (const SettingsError& error) {
      faults.insert(
        faults.end(), error.FileErrors().begin(), error.FileErrors().end());
    }
  }
  if (!faults.empty()) {
    return PrintFaults(faults, aContext.err_);
  }
  aContext.out_ << files.size() << " settings files are right.\n";
  return kExitDone;
}

int
Validate(const Context& aContext)
{
  if (aContext.options_.isSettings_) {
    return ValidateSettings(aContext);
  }
  const DeclaredResources declared = LoadResources(aContext.options_.files_);
  if (!declared.faults_.empty()) {
    return PrintFaults(declared.faults_, aContext.err_);
  }
  for (const std::string& message : FindUnresolvedReferences(declared)) {
    aContext.err_ << "note: " << message << "\n";
  }
  aContext.out_ << declared.resources_.size() << " resources are right.\n";
  return kExitDone;
}

int
Diff(const Context& aContext, ApiClient& aClient)
{
  const CtlOptions& options = aContext.options_;
  const DeclaredResources declared = LoadResources(options.files_);
  if (!declared.faults_.empty()) {
    return PrintFaults(declared.faults_, aContext.err_);
  }
  const auto plan = MakePlan(
    declared, ReadServerResources(aClient, declared), options.isPrune_);
  if (options.format_ == OutputFormat::Json) {
    aContext.out_ << PlanToJson(plan).dump(2) << "\n";
  } else if (options.format_ == OutputFormat::Yaml) {
    aContext.out_ << ToYaml(PlanToJson(plan));
  } else {
    PrintPlan(plan, aContext.out_);
  }
  return HasChanges(plan) ? kExitDiffers : kExitDone;
}

int
Apply(const Context& aContext, ApiClient& aClient)
{
  const CtlOptions& options = aContext.options_;
  const DeclaredResources declared = LoadResources(options.files_);
  if (!declared.faults_.empty()) {
    return PrintFaults(declared.faults_, aContext.err_);
  }
  const auto plan = MakePlan(
    declared, ReadServerResources(aClient, declared), options.isPrune_);
  return ApplyPlan(aClient, plan, options, aContext.out_, aContext.err_);
}

int
Get(const Context& aContext, ApiClient& aClient)
{
  const auto& arguments = aContext.options_.arguments_;
  const ResourceKind kind = ParseKind(arguments[0]);
  std::vector<Json> documents;
  if (arguments.size() == 2) {
    documents.push_back(
      aClient.CallOrThrow(HttpMethod::Get, ResourceTarget(kind, arguments[1])));
  } else {
    const Json list =
      aClient.CallOrThrow(HttpMethod::Get, ResourceTarget(kind));
    documents = list.at("items").get<std::vector<Json>>();
  }
  PrintResources(documents, aContext.options_.format_, aContext.out_);
  return kExitDone;
}

int
Delete(const Context& aContext, ApiClient& aClient)
{
  const CtlOptions& options = aContext.options_;
  std::vector<Change> plan;
  const auto add = [&](ResourceKind aKind, const std::string& aName) {
    Change change;
    change.action_ = ChangeAction::Delete;
    change.kind_ = aKind;
    change.name_ = aName;
    plan.push_back(std::move(change));
  };
  if (!options.arguments_.empty()) {
    add(ParseKind(options.arguments_[0]), options.arguments_[1]);
  } else {
    const DeclaredResources declared = LoadResources(options.files_);
    if (!declared.faults_.empty()) {
      return PrintFaults(declared.faults_, aContext.err_);
    }
    // In reverse, so that a resource is deleted before the service that it
    // refers to.
    for (auto item = declared.resources_.rbegin();
         item != declared.resources_.rend();
         ++item) {
      add(KindOf(item->resource_), MetadataOf(item->resource_).name_);
    }
    std::stable_sort(
      plan.begin(), plan.end(), [](const Change& aLeft, const Change& aRight) {
        return aLeft.kind_ != ResourceKind::Service &&
               aRight.kind_ == ResourceKind::Service;
      });
  }
  return ApplyPlan(aClient, plan, options, aContext.out_, aContext.err_);
}

int
Explain(const Context& aContext)
{
  const std::string& argument = aContext.options_.arguments_[0];
  const auto dot = argument.find('.');
  const std::string subject = argument.substr(0, dot);
  const std::string path =
    dot == std::string::npos ? "" : argument.substr(dot + 1);
  const FieldTable& table =
    subject == "settings" ? SettingsTable() : SchemaOf(ParseKind(subject));
  bool isFound = false;
  for (const FieldSpec& field : table) {
    if (field.path_.compare(0, path.size(), path) != 0) {
      continue;
    }
    isFound = true;
    aContext.out_ << field.path_ << ": " << DescribeValue(field);
    if (!field.isRequired_ && !field.default_.is_null()) {
      aContext.out_ << "; default " << field.default_.dump();
    }
    aContext.out_ << (field.isRequired_ ? "; required" : "") << "\n    "
                  << field.doc_ << "\n";
  }
  if (!isFound) {
    throw UserError("explain",
                    "",
                    "The field \"" + path + "\" of " + subject +
                      " is unknown; \"explain " + subject +
                      "\" lists the fields.");
  }
  return kExitDone;
}

int
ShowRequest(const Context& aContext)
{
  const CtlOptions& options = aContext.options_;
  ApiClient client(options.callers_, ReadToken(options.tokenFile_));
  const Json record = client.CallOrThrow(
    HttpMethod::Get,
    "/v1/requests/" + EncodePathSegment(options.arguments_[0]));
  PrintRequest(record, options.format_, aContext.out_);
  return kExitDone;
}

int
RunWithServer(const Context& aContext)
{
  const CtlOptions& options = aContext.options_;
  ApiClient client(options.servers_, ReadToken(options.tokenFile_));
  if (options.command_ == "diff") {
    return Diff(aContext, client);
  }
  if (options.command_ == "apply") {
    return Apply(aContext, client);
  }
  if (options.command_ == "get") {
    return Get(aContext, client);
  }
  if (options.command_ == "delete") {
    return Delete(aContext, client);
  }
  WatchResources(client,
                 ParseKind(options.arguments_[0]),
                 options,
                 aContext.out_,
                 aContext.err_);
  return kExitDone;
}

int
RunCommand(const Context& aContext)
{
  const std::string& command = aContext.options_.command_;
  if (command == "validate") {
    return Validate(aContext);
  }
  if (command == "explain-request") {
    const auto& arguments = aContext.options_.arguments_;
    return ExplainRequest({ arguments.begin(), arguments.end() - 1 },
                          arguments.back(),
                          aContext.out_);
  }
  if (command == "explain") {
    return Explain(aContext);
  }
  if (command == "reference") {
    aContext.out_ << ReferencePage();
    return kExitDone;
  }
  if (command == "request") {
    return ShowRequest(aContext);
  }
  if (command == "journal") {
    return VerifyJournal(aContext.options_, aContext.out_);
  }
  return RunWithServer(aContext);
}

} // namespace

int
RunCtl(int aCount,
       const char* const* aArguments,
       std::ostream& aOut,
       std::ostream& aErr)
{
  try {
    const CtlOptions options = ParseCtlOptions(aCount, aArguments);
    if (!options.infoText_.empty()) {
      aOut << options.infoText_;
      return kExitDone;
    }
    return RunCommand({ options, aOut, aErr });
  } catch (const ApiError& error) {
    aErr << "error: " << error.what() << "\n";
    for (const FieldError& detail : error.Details()) {
      aErr << "  " << detail.field_ << ": " << detail.message_ << "\n";
    }
  } catch (const Json::exception& error) {
    aErr << "error: The reply of the server does not have the form of this "
            "program's API version: "
         << error.what() << "\n";
  } catch (const std::exception& error) {
    aErr << "error: " << error.what() << "\n";
  }
  return kExitError;
}

} // namespace sycamoreward
