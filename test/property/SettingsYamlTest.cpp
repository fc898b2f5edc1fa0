// Written YAML is read back as the same value.

#include "settings/YamlDocument.h"
#include "settings/YamlWriter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

std::string
AnyText()
{
  if (*rc::gen::arbitrary<bool>()) {
    return *rc::gen::element<std::string>("true",
                                          "null",
                                          "~",
                                          "1",
                                          "-0.5e3",
                                          "a: b",
                                          "- x",
                                          "#",
                                          "*a",
                                          "&a",
                                          "!t",
                                          "'",
                                          "\"",
                                          " a ",
                                          "---",
                                          "...",
                                          "a\nb",
                                          "yes",
                                          "0x10",
                                          "007",
                                          ".nan");
  }
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

Json
AnyValue(int aDepth)
{
  switch (*rc::gen::inRange(0, aDepth > 0 ? 7 : 5)) {
    case 0:
      return *rc::gen::arbitrary<bool>();
    case 1:
      return *rc::gen::arbitrary<std::int64_t>();
    case 2:
      return *rc::gen::arbitrary<int>() / 1000.0;
    case 3:
      return AnyText();
    case 4:
      return nullptr;
    case 5: {
      Json list = Json::array();
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        list.push_back(AnyValue(aDepth - 1));
      }
      return list;
    }
    default: {
      Json object = Json::object();
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        object[AnyText()] = AnyValue(aDepth - 1);
      }
      return object;
    }
  }
}

} // namespace

// Guards against text that is read back as a number, a boolean or null, so that
// `get -o yaml | apply` would change a resource.
Test(SettingsYaml, RoundTripKeepsTheValue)
{
  cr_assert(rc::check("value to YAML and back", [] {
    const Json value = Json::object({ { "a", AnyValue(3) } });
    const std::string text = ToYaml(value);
    RC_LOG() << text;
    const YamlFile file = ParseYaml("x", text);
    for (const FileError& fileError : file.fileErrors_) {
      RC_LOG() << ToString(fileError);
    }
    RC_ASSERT(file.fileErrors_.empty());
    RC_ASSERT(file.documents_.size() == 1U);
    RC_ASSERT(file.documents_.front().value_ == value);
  }));
}

Test(SettingsYaml, DocumentsOfAFileKeepTheirLines)
{
  const YamlFile file =
    ParseYaml("x", "# note\na:\n  - b: 1\n  - b: 2\n---\n---\nc: {d: x}\n");
  cr_assert_eq(file.documents_.size(), 2);
  cr_assert_eq(LineOf(file.documents_[0], "a[1].b"), 4);
  cr_assert_eq(LineOf(file.documents_[0], "a[1].missing"), 4);
  cr_assert_eq(LineOf(file.documents_[1], "c.d"), 7);
}
