#include "SpecDiff.h"

#include "configuration/ResourceJson.h"

#include <set>

namespace sycamoreward {

using Json = nlohmann::json;

std::vector<FieldChange>
DiffSpecs(const Json& aBefore, const Json& aAfter, const std::string& aPath)
{
  if (!aBefore.is_object() || !aAfter.is_object()) {
    if (aBefore == aAfter) {
      return {};
    }
    return { { aPath, aBefore, aAfter } };
  }
  std::set<std::string> keys;
  for (const Json& side : { aBefore, aAfter }) {
    for (const auto& [key, value] : side.items()) {
      keys.insert(key);
    }
  }
  std::vector<FieldChange> changes;
  for (const std::string& key : keys) {
    const Json before = aBefore.value(key, Json());
    const Json after = aAfter.value(key, Json());
    std::string path = aPath;
    path.append(".").append(key);
    for (FieldChange& change : DiffSpecs(before, after, path)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

Json
NormalizedSpec(const Json& aDocument)
{
  const ParsedResource parsed = ResourceFromJson(aDocument);
  if (parsed.resource_) {
    return ToJson(*parsed.resource_)["spec"];
  }
  // A newer server may send fields that this program doesn't know, so its spec
  // is compared as it is.
  return aDocument.is_object() ? aDocument.value("spec", Json()) : Json();
}

} // namespace sycamoreward
