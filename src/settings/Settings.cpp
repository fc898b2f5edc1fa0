#include "settings/Settings.h"

#include "settings/SettingsTable.h"

#include <array>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

std::string
JoinErrors(const std::vector<FileError>& aFileErrors)
{
  std::string text;
  for (const FileError& fileError : aFileErrors) {
    text += (text.empty() ? "" : "\n") + ToString(fileError);
  }
  return text;
}

std::string
FirstFile(const std::vector<FileError>& aFileErrors)
{
  return aFileErrors.empty() ? "" : aFileErrors.front().file_;
}

std::string
ReadText(const Json& aObject, const char* aName)
{
  return aObject.at(aName).get<std::string>();
}

Address
ReadAddress(const Json& aObject, const char* aName)
{
  return ParseAddress(ReadText(aObject, aName));
}

std::optional<Address>
ReadOptionalAddress(const Json& aObject, const char* aName)
{
  if (!aObject.contains(aName)) {
    return std::nullopt;
  }
  return ReadAddress(aObject, aName);
}

Duration
ReadMs(const Json& aObject, const char* aName)
{
  return std::chrono::milliseconds(aObject.at(aName).get<std::int64_t>());
}

PlatformSettings
ReadPlatform(const Json& aPlatform)
{
  return { ReadAddress(aPlatform, "table"),
           ReadText(aPlatform, "tableName"),
           ReadAddress(aPlatform, "objectStore"),
           ReadText(aPlatform, "bucket"),
           ReadAddress(aPlatform, "instanceList"),
           ReadOptionalAddress(aPlatform, "notices"),
           ReadText(aPlatform, "noticePath") };
}

// Converts a document that has passed CheckDocument and has its defaults.
Settings
ReadSettings(const Json& aDocument)
{
  Settings settings;
  const Json& instance = aDocument.at("instance");
  settings.instance_ = { InstanceId(ReadText(instance, "id")),
                         FailureDomainId(ReadText(instance, "failureDomain")),
                         RegionId(ReadText(instance, "region")) };
  const Json& listen = aDocument.at("listen");
  settings.listen_ = { ReadAddress(listen, "callers"),
                       ReadAddress(listen, "operators"),
                       ReadAddress(listen, "peers") };
  settings.platform_ = ReadPlatform(aDocument.at("platform"));
  for (const Json& seed : aDocument.at("seeds")) {
    settings.seeds_.push_back(ParseAddress(seed.get<std::string>()));
  }
  const Json& log = aDocument.at("log");
  settings.log_ = { ReadText(log, "format") == "json" ? LogFormat::Json
                                                      : LogFormat::Text,
                    ReadText(log, "level") };
  for (const Json& entry : aDocument.at("operators")) {
    settings.operators_.push_back({ ReadText(entry, "tokenDigest"),
                                    ReadText(entry, "role") == "writer"
                                      ? OperatorRole::Writer
                                      : OperatorRole::Reader });
  }
  const Json& limits = aDocument.at("limits");
  settings.limits_ = { limits.at("maxConnections").get<unsigned>(),
                       limits.at("maxRequests").get<unsigned>(),
                       Bytes(limits.at("maxBodyBytes").get<std::uint64_t>()),
                       Bytes(limits.at("memoryBytes").get<std::uint64_t>()) };
  const Json& drain = aDocument.at("drain");
  settings.drain_ = { ReadMs(drain, "idleConnectionMs"),
                      ReadMs(drain, "handOverReserveMs") };
  const Json& fleet = aDocument.at("fleet");
  settings.fleet_ = { ReadMs(fleet, "leaseMs"),
                      ReadMs(fleet, "renewMs"),
                      ReadMs(fleet, "orderTimeoutMs") };
  settings.trace_ = { ReadOptionalAddress(aDocument.at("trace"), "export") };
  return settings;
}

// Checks rules that the field table can't express.
std::vector<FieldError>
CheckListen(const Settings& aSettings)
{
  const ListenSettings& listen = aSettings.listen_;
  const std::array<std::pair<const char*, const Address*>, 3> addresses{
    { { "listen.callers", &listen.callers_ },
      { "listen.operators", &listen.operators_ },
      { "listen.peers", &listen.peers_ } }
  };
  std::vector<FieldError> errors;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const auto& [field, address] = addresses.at(i);
    // Callers and peers are given this address, and they can't connect to a
    // wildcard address.
    if (address->ip_ == "0.0.0.0" || address->ip_ == "::") {
      errors.push_back({ field,
                         "The field \"" + std::string(field) + "\" is \"" +
                           ToString(*address) +
                           "\"; write the IP number that others connect to.",
                         0 });
    }
    for (std::size_t j = 0; j < i; ++j) {
      if (address->port_ != 0 && *address == *addresses.at(j).second) {
        errors.push_back({ field,
                           "The field \"" + std::string(field) + "\" is \"" +
                             ToString(*address) + "\", as is \"" +
                             addresses.at(j).first +
                             "\"; give each its own port.",
                           0 });
      }
    }
  }
  return errors;
}

// The lease must outlast a renewal interval plus the order timeout. Otherwise
// no order could be sent to servers that ignore fencing numbers.
std::vector<FieldError>
CheckFleet(const FleetSettings& aFleet)
{
  if (aFleet.renew_ + aFleet.orderTimeout_ < aFleet.lease_) {
    return {};
  }
  const auto text = [](Duration aTime) {
    return std::to_string(aTime / std::chrono::milliseconds(1));
  };
  return { { "fleet.leaseMs",
             "The field \"fleet.leaseMs\" is " + text(aFleet.lease_) +
               "; it must be longer than renewMs (" + text(aFleet.renew_) +
               ") and orderTimeoutMs (" + text(aFleet.orderTimeout_) +
               ") together.",
             0 } };
}

Settings
ReadFile(const std::string& aName, YamlFile aFile)
{
  std::vector<FileError> fileErrors = std::move(aFile.fileErrors_);
  if (fileErrors.empty() && aFile.documents_.size() != 1) {
    fileErrors.push_back(
      { aName,
        { "",
          "The file has " + std::to_string(aFile.documents_.size()) +
            " documents; write one.",
          0 } });
  }
  if (aFile.documents_.empty()) {
    throw SettingsError(std::move(fileErrors));
  }
  const YamlDocument& document = aFile.documents_.front();
  const FieldTable& table = SettingsTable();
  AddFileErrors(document, CheckDocument(table, document.value_), fileErrors);
  if (!fileErrors.empty()) {
    throw SettingsError(std::move(fileErrors));
  }
  Settings settings = ReadSettings(WithDefaults(table, document.value_));
  AddFileErrors(document, CheckListen(settings), fileErrors);
  AddFileErrors(document, CheckFleet(settings.fleet_), fileErrors);
  if (!fileErrors.empty()) {
    throw SettingsError(std::move(fileErrors));
  }
  return settings;
}

} // namespace

SettingsError::SettingsError(std::vector<FileError> aFileErrors)
  : UserError("read settings", FirstFile(aFileErrors), JoinErrors(aFileErrors))
  , fileErrors_(std::move(aFileErrors))
{
}

Settings
LoadSettings(const std::string& aFile)
{
  return ReadFile(aFile, LoadYaml(aFile));
}

Settings
ParseSettings(const std::string& aFile, const std::string& aText)
{
  return ReadFile(aFile, ParseYaml(aFile, aText));
}

} // namespace sycamoreward
