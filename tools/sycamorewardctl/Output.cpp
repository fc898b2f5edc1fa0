#include "Output.h"

#include "settings/YamlWriter.h"

#include <algorithm>
#include <ctime>
#include <iomanip>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

std::string
Text(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  return aValue.is_null()
           ? ""
           : aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
At(const Json& aDocument, const char* aPointer)
{
  const Json::json_pointer pointer(aPointer);
  return aDocument.is_object() && aDocument.contains(pointer)
           ? Text(aDocument[pointer])
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
  std::vector<std::pair<unsigned long long, std::string>> all;
  for (const auto& [domain, value] : aDocument[pointer].items()) {
    const std::string text = Text(value);
    all.emplace_back(std::strtoull(text.c_str(), nullptr, 10), text);
  }
  const auto [least, most] = std::minmax_element(all.begin(), all.end());
  return least->second == most->second ? least->second
                                       : least->second + ".." + most->second;
}

// Short words on a spec for the last column.
std::string
Summary(const Json& aDocument)
{
  const std::string kind = At(aDocument, "/kind");
  if (kind == "Service") {
    return At(aDocument, "/spec/type") +
           " pool=" + At(aDocument, "/spec/pool") +
           " region=" + At(aDocument, "/spec/region") +
           " repeatable=" + At(aDocument, "/spec/isRepeatable");
  }
  if (kind == "Workspace") {
    return "share=" + At(aDocument, "/spec/share") +
           " services=" + At(aDocument, "/spec/services");
  }
  if (kind == "ModelVersion") {
    return At(aDocument, "/spec/model") + " " + At(aDocument, "/spec/version") +
           " pool=" + At(aDocument, "/spec/pool");
  }
  return "service=" + At(aDocument, "/spec/service");
}

std::string
WallText(const Json& aMilliseconds)
{
  if (!aMilliseconds.is_number_integer()) {
    return Text(aMilliseconds);
  }
  const auto ms = aMilliseconds.get<std::int64_t>();
  const std::time_t seconds = ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
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
    rows.push_back({ At(document, "/kind"),
                     At(document, "/metadata/name"),
                     At(document, "/metadata/resourceVersion"),
                     InForceText(document),
                     Summary(document) });
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
    aOut << At(aEvent, "/type") << " " << At(aEvent, "/object/kind") << "/"
         << At(aEvent, "/object/metadata/name") << " version "
         << At(aEvent, "/object/metadata/resourceVersion") << " "
         << (aEvent.contains("object") ? Summary(aEvent["object"]) : "")
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
  aOut << "request " << At(aRecord, "/id") << " to service "
       << At(aRecord, "/service") << "\n";
  if (At(aRecord, "/state") == "running") {
    aOut << "running\n";
    return;
  }
  std::vector<std::vector<std::string>> rows{ { "TIME", "WHAT" } };
  rows.push_back({ WallText(aRecord.value("acceptedMs", Json())), "accepted" });
  for (const Json& attempt : aRecord.value("attempts", Json::array())) {
    rows.push_back({ WallText(attempt.value("sentMs", Json())),
                     "attempt " + At(attempt, "/number") + " at " +
                       At(attempt, "/server") + ": " + At(attempt, "/end") });
  }
  rows.push_back({ WallText(aRecord.value("endedMs", Json())),
                   "outcome " + At(aRecord, "/outcome") });
  PrintTable(rows, aOut);
  aOut << "evidence: " << At(aRecord, "/evidence") << "\n"
       << "answer:   " << At(aRecord, "/answerLength") << " bytes, SHA-256 "
       << At(aRecord, "/answerDigest") << "\n";
}

} // namespace sycamoreward
