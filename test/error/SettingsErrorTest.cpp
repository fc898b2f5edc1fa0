// Invalid settings files are refused with the line, the field and what would be
// valid.

#include "settings/Settings.h"
#include "settings/SettingsTable.h"

#include <criterion/criterion.h>

#include <string>

using namespace sycamoreward;

namespace {

// The line numbers that the tests expect refer to these lines.
const std::string kValidSettings =
  "instance:\n"                             // 1
  "  id: entry-1\n"                         // 2
  "  failureDomain: scot-central-a\n"       // 3
  "  region: scot-central\n"                // 4
  "listen:\n"                               // 5
  "  callers: 10.0.0.1:8080\n"              // 6
  "  operators: 10.0.0.1:8081\n"            // 7
  "  peers: 10.0.0.1:8082\n"                // 8
  "platform:\n"                             // 9
  "  table: 10.0.9.1:8000\n"                // 10
  "  objectStore: 10.0.9.1:9000\n"          // 11
  "  bucket: journal\n"                     // 12
  "  instanceList: 10.0.9.1:7000\n"         // 13
  "seeds: [10.0.1.1:8082, 10.0.2.1:8082]\n" // 14
  "drain:\n"                                // 15
  "  handOverReserveMs: 700\n";             // 16

std::vector<FileError>
ErrorsOf(const std::string& aText)
{
  try {
    ParseSettings("a.yaml", aText);
  } catch (const SettingsError& error) {
    cr_assert_not(std::string(error.what()).empty());
    return error.FileErrors();
  }
  return {};
}

// Replaces aFrom in the valid file and expects exactly one error.
void
ExpectError(const std::string& aFrom,
            const std::string& aTo,
            unsigned aLine,
            const std::string& aField,
            const std::string& aExpectedText)
{
  std::string text = kValidSettings;
  const auto at = text.find(aFrom);
  cr_assert(at != std::string::npos, "%s", aFrom.c_str());
  text.replace(at, aFrom.size(), aTo);
  const auto errors = ErrorsOf(text);
  cr_assert_eq(errors.size(), 1, "%s: %zu", aTo.c_str(), errors.size());
  const std::string formatted = ToString(errors[0]);
  cr_assert_eq(errors[0].error_.line_, aLine, "%s", formatted.c_str());
  cr_assert_eq(errors[0].error_.field_, aField, "%s", formatted.c_str());
  cr_assert(formatted.find(aExpectedText) != std::string::npos,
            "%s",
            formatted.c_str());
  cr_assert(formatted.rfind("a.yaml", 0) == 0, "%s", formatted.c_str());
}

} // namespace

Test(Settings, ValidFileIsReadWithDefaults)
{
  const Settings settings = ParseSettings("a.yaml", kValidSettings);
  cr_assert_eq(settings.instance_.id_.Value(), "entry-1");
  cr_assert_eq(settings.listen_.peers_.port_, 8082);
  cr_assert_eq(settings.seeds_.size(), 2);
  cr_assert(settings.drain_.handOverReserve_ == std::chrono::milliseconds(700));
  cr_assert_eq(settings.limits_.maxBody_.Value(), 4'194'304);
  cr_assert_eq(settings.platform_.tableName_, "sycamoreward");
  cr_assert(!settings.platform_.notices_);
  cr_assert(!settings.trace_.export_);
  cr_assert(settings.fleet_.lease_ == std::chrono::seconds(15));
  cr_assert(settings.fleet_.renew_ == std::chrono::seconds(5));
  cr_assert(settings.fleet_.orderTimeout_ == std::chrono::seconds(5));
}

Test(Settings, ErrorsNameTheFieldAndItsLine)
{
  ExpectError("  id:", "  idd: x\n  id:", 2, "instance.idd", "is unknown");
  ExpectError("  region: scot-central\n",
              "",
              1,
              "instance.region",
              "is missing; write a name");
  ExpectError("  id: entry-1\n",
              "  id: entry-1\n  id: entry-2\n",
              3,
              "instance.id",
              "written twice, first on line 2");
  ExpectError("handOverReserveMs: 700",
              "handOverReserveSeconds: 1",
              16,
              "drain.handOverReserveSeconds",
              "write \"handOverReserveMs\" in milliseconds");
  ExpectError("handOverReserveMs: 700",
              "handOverReserveMs: 700\nfleet:\n  leaseMs: 10000",
              18,
              "fleet.leaseMs",
              "must be longer than renewMs (5000) and orderTimeoutMs (5000)");
  ExpectError("handOverReserveMs: 700",
              "handOverReserveMs: 700ms",
              16,
              "drain.handOverReserveMs",
              "is \"700ms\"; write an integer of milliseconds");
  ExpectError("handOverReserveMs: 700",
              "handOverReserveMs: 60001",
              16,
              "drain.handOverReserveMs",
              "is 60001; write an integer of milliseconds from 0 to 60000");
  ExpectError("table: 10.0.9.1:8000",
              "table: table.local:8000",
              10,
              "platform.table",
              "is \"table.local:8000\"; write an address IP:PORT");
  ExpectError("10.0.2.1:8082", "10.0.2.1", 14, "seeds[1]", "IP:PORT");
  ExpectError("callers: 10.0.0.1:8080",
              "callers: 0.0.0.0:8080",
              6,
              "listen.callers",
              "that others connect to");
  ExpectError("operators: 10.0.0.1:8081",
              "operators: 10.0.0.1:8080",
              7,
              "listen.operators",
              "give each its own port");
  ExpectError("entry-1", "Entry_1", 2, "instance.id", "lower-case letters");
  ExpectError(
    "bucket: journal", "bucket: [a]", 12, "platform.bucket", "a name");
  ExpectError("entry-1\n  failureDomain: scot-central-a",
              "&x entry-1\n  failureDomain: *x",
              3,
              "instance.failureDomain",
              "alias");
  ExpectError("id: entry-1\n  failureDomain: scot-central-a",
              "id: entry-1\n  failureDomain: *x",
              3,
              "",
              "anchor is not defined");
  ExpectError("seeds:",
              "operators: [{tokenDigest: \"12\", role: reader}]\nseeds:",
              14,
              "operators[0].tokenDigest",
              "64 lower-case hexadecimal digits");
}

Test(Settings, AllErrorsAreReportedAtOnce)
{
  // Three missing sections, one unknown field and one value out of range.
  cr_assert_eq(ErrorsOf("colour: 1\nlimits: {maxRequests: 0}\n").size(), 5);
  // A duplicate key doesn't hide other errors.
  cr_assert_eq(ErrorsOf("log: {}\nlog: {}\n").size(), 4);
}

Test(Settings, TextWithoutExactlyOneDocumentIsRefused)
{
  cr_assert_eq(ErrorsOf("").size(), 1);
  cr_assert_eq(ErrorsOf("a: [1\nb: }").size(), 1);
  cr_assert_eq(ErrorsOf("- 1\n").size(), 1);
  cr_assert_eq(ErrorsOf(kValidSettings + "---\n" + kValidSettings).size(), 1);
  // yaml-cpp alone would report empty documents at the comma forever.
  cr_assert(!ErrorsOf(",").empty());
  // Deep nesting must not exhaust the stack.
  cr_assert(!ErrorsOf(std::string(100, '[')).empty());
  cr_assert(!ErrorsOf(std::string(100'000, '[')).empty());
}

Test(Settings, UnreadableFileIsRefused)
{
  cr_assert_throw(LoadSettings("/nonexistent/a.yaml"), SettingsError);
  cr_assert_throw(LoadSettings(SOURCE_DIRECTORY), SettingsError);
}
