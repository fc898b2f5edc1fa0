#include "Output.h"

#include "settings/YamlWriter.h"

#include <algorithm>
#include <ctime>
#include <iomanip>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

std::string
FormatValue(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  return aValue.is_null()
           ? ""
           : aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
FormatField(const Json& aDocument, const char* aPointer)
{
  const Json::json_pointer pointer(aPointer);
  return aDocument.is_object() && aDocument.contains(pointer)
           ? FormatValue(aDocument[pointer])
           : "";
}

// Lowest and highest revision in force, such as "12" or "11..12".
std::string
InForceText(const Json& aDocument)
{
  const Json::json_pointer pointer("/status/inForce");
  if (!aDocument.contains(pointer) || !aDocument[pointer].is_object() ||
      aDocument[pointer].empty()) {
    return "";
  }
  std::vector<std::pair<unsigned long long, std::string>> revisions;
  for (const auto& [domain, value] : aDocument[pointer].items()) {
    const std::string text = FormatValue(value);
    revisions.emplace_back(std::strtoull(text.c_str(), nullptr, 10), text);
  }
  const auto [lowest, highest] =
    std::minmax_element(revisions.begin(), revisions.end());
  return lowest->second == highest->second
           ? lowest->second
           : lowest->second + ".." + highest->second;
}

// A short description of a spec for the last column of the table.
std::string
SpecSummary(const Json& aDocument)
{
  const std::string kind = FormatField(aDocument, "/kind");
  if (kind == "Service") {
    return FormatField(aDocument, "/spec/type") +
           " pool=" + FormatField(aDocument, "/spec/pool") +
           " region=" + FormatField(aDocument, "/spec/region") +
           " repeatable=" + FormatField(aDocument, "/spec/isRepeatable");
  }
  if (kind == "Workspace") {
    return "share=" + FormatField(aDocument, "/spec/share") +
           " services=" + FormatField(aDocument, "/spec/services");
  }
  if (kind == "ModelVersion") {
    return FormatField(aDocument, "/spec/model") + " " +
           FormatField(aDocument, "/spec/version") +
           " pool=" + FormatField(aDocument, "/spec/pool");
  }
  return "service=" + FormatField(aDocument, "/spec/service");
}

std::string
FormatWallTime(const Json& aMilliseconds)
{
  if (!aMilliseconds.is_number_integer()) {
    return FormatValue(aMilliseconds);
  }
  const auto ms = aMilliseconds.get<std::int64_t>();
  const std::time_t seconds = ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream out;
  out << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
      << std::setfill('0') << ms % 1000 << "Z";
  return out.str();
}

Json
WithoutStatus(Json aDocument)
{
  if (aDocument.is_object()) {
    aDocument.erase("status");
  }
  return aDocument;
}

} // namespace

void
PrintTable(const std::vector<std::vector<std::string>>& aRows,
           std::ostream& aOut)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      aOut << row[i] << std::string(widths[i] - row[i].size() + 2, ' ');
    }
    aOut << (row.empty() ? "" : row.back()) << "\n";
  }
}

void
PrintResources(const std::vector<Json>& aDocuments,
               OutputFormat aFormat,
               std::ostream& aOut)
{
  if (aFormat == OutputFormat::Json) {
    aOut << Json(aDocuments).dump(2) << "\n";
    return;
  }
  if (aFormat == OutputFormat::Yaml) {
    for (const Json& document : aDocuments) {
      aOut << "---\n" << ToYaml(WithoutStatus(document));
    }
    return;
  }
  std::vector<std::vector<std::string>> rows{
    { "KIND", "NAME", "VERSION", "IN FORCE", "SPEC" }
  };
  for (const Json& document : aDocuments) {
    rows.push_back({ FormatField(document, "/kind"),
                     FormatField(document, "/metadata/name"),
                     FormatField(document, "/metadata/resourceVersion"),
                     InForceText(document),
                     SpecSummary(document) });
  }
  PrintTable(rows, aOut);
}

void
PrintEvent(const Json& aEvent, OutputFormat aFormat, std::ostream& aOut)
{
  if (aFormat == OutputFormat::Json) {
    aOut << aEvent.dump() << "\n";
  } else if (aFormat == OutputFormat::Yaml) {
    aOut << "---\n" << ToYaml(aEvent);
  } else {
    aOut << FormatField(aEvent, "/type") << " "
         << FormatField(aEvent, "/object/kind") << "/"
         << FormatField(aEvent, "/object/metadata/name") << " version "
         << FormatField(aEvent, "/object/metadata/resourceVersion") << " "
         << (aEvent.contains("object") ? SpecSummary(aEvent["object"]) : "")
         << "\n";
  }
  aOut.flush();
}

void
PrintRequest(const Json& aRecord, OutputFormat aFormat, std::ostream& aOut)
{
  if (aFormat == OutputFormat::Json) {
    aOut << aRecord.dump(2) << "\n";
    return;
  }
  if (aFormat == OutputFormat::Yaml) {
    aOut << ToYaml(aRecord);
    return;
  }
  aOut << "request " << FormatField(aRecord, "/id") << " to service "
       << FormatField(aRecord, "/service") << "\n";
  if (FormatField(aRecord, "/state") == "running") {
    aOut << "running\n";
    return;
  }
  std::vector<std::vector<std::string>> rows{ { "TIME", "WHAT" } };
  rows.push_back(
    { FormatWallTime(aRecord.value("acceptedMs", Json())), "accepted" });
  for (const Json& attempt : aRecord.value("attempts", Json::array())) {
    rows.push_back({ FormatWallTime(attempt.value("sentMs", Json())),
                     "attempt " + FormatField(attempt, "/number") + " at " +
                       FormatField(attempt, "/server") + ": " +
                       FormatField(attempt, "/end") });
  }
  rows.push_back({ FormatWallTime(aRecord.value("endedMs", Json())),
                   "outcome " + FormatField(aRecord, "/outcome") });
  PrintTable(rows, aOut);
  aOut << "evidence: " << FormatField(aRecord, "/evidence") << "\n"
       << "answer:   " << FormatField(aRecord, "/answerLength")
       << " bytes, SHA-256 " << FormatField(aRecord, "/answerDigest") << "\n";
}

} // namespace sycamoreward
