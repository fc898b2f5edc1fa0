// Fuzzes settings files and resource files. Guards against input that crashes
// the process, and against resources that change when they are written and read
// back.

#include "base/Error.h"
#include "configuration/ResourceJson.h"
#include "settings/Settings.h"
#include "settings/YamlDocument.h"

#include <cstdlib>

using namespace sycamoreward;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  try {
    ParseSettings("settings.yaml", text);
  } catch (const SettingsError&) {
  }
  for (const YamlDocument& document : ParseYaml("a.yaml", text).documents_) {
    const ParsedResource parsed = ResourceFromJson(document.value_);
    if (parsed.resource_) {
      const auto json = ToJson(*parsed.resource_);
      const ParsedResource again = ResourceFromJson(json);
      if (!again.resource_ || ToJson(*again.resource_) != json) {
        std::abort();
      }
    }
  }
  return 0;
}
