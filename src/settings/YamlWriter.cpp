#include "settings/YamlWriter.h"

#include "settings/YamlDocument.h"

#include <yaml-cpp/yaml.h>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Returns whether aText, written without quotes, is read back as the same text.
bool
IsSafeUnquoted(const std::string& aText)
{
  const YamlFile file = ParseYaml("", aText);
  return file.fileErrors_.empty() && file.documents_.size() == 1 &&
         file.documents_.front().value_ == aText;
}

void
Emit(YAML::Emitter& aOut, const Json& aValue)
{
  if (aValue.is_object()) {
    aOut << (aValue.empty() ? YAML::Flow : YAML::Block) << YAML::BeginMap;
    for (const auto& [key, value] : aValue.items()) {
      aOut << YAML::Key;
      Emit(aOut, Json(key));
      aOut << YAML::Value;
      Emit(aOut, value);
    }
    aOut << YAML::EndMap;
  } else if (aValue.is_array()) {
    aOut << (aValue.empty() ? YAML::Flow : YAML::Block) << YAML::BeginSeq;
    for (const Json& element : aValue) {
      Emit(aOut, element);
    }
    aOut << YAML::EndSeq;
  } else if (aValue.is_string()) {
    const auto& text = aValue.get_ref<const std::string&>();
    if (!IsSafeUnquoted(text)) {
      aOut << YAML::DoubleQuoted;
    }
    aOut << text;
  } else if (aValue.is_null()) {
    aOut << YAML::Null;
  } else {
    aOut << aValue.dump();
  }
}

} // namespace

std::string
ToYaml(const Json& aValue)
{
  YAML::Emitter out;
  Emit(out, aValue);
  return std::string(out.c_str()) + "\n";
}

} // namespace sycamoreward
