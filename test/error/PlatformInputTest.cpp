// Malformed settings, manifests, server entries and header fields. Guards
// against a process that starts with invalid settings, or that terminates
// because of data that another writer stored.

#include "ManifestJson.h"
#include "RequestHeaders.h"
#include "SettingsFile.h"
#include "StoreClient.h"
#include "base/Error.h"

#include <criterion/criterion.h>

using namespace sycamoreward;
using namespace sycamoreward::platform;

namespace {

const std::string kSettings = R"(
node-name = "edge-1"
ip = "10.0.0.1"
zone = "north"
region = "coast"
internal-ports = [7600,7615]
unknown-field = { a = 1 }
[listen]
frontend = "10.0.0.1:80"
[bounds]
grace-s = 8
quota-slack = 110000
[platform]
address = "10.0.0.2:90"
)";

std::string
Replaced(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kSettings;
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return text;
}

std::string
ErrorOf(const std::string& aText)
{
  try {
    ParseSettings(aText);
    return "";
  } catch (const UserError& error) {
    return error.what();
  }
}

} // namespace

Test(PlatformInput, SettingsErrorsNameTheInvalidField)
{
  cr_expect_eq(ErrorOf(kSettings), "");
  cr_expect_eq(ParseSettings(kSettings).bounds_.quotaSlack_, 110000);
  const std::pair<std::string, std::string> cases[] = {
    { "node-name = \"edge-1\"", "" },
    { "internal-ports = [7600,7615]", "internal-ports = [7600]" },
    { "internal-ports = [7600,7615]", "internal-ports = [7600,\"x\"]" },
    { "grace-s = 8", "grace-s = \"long\"" },
    { "frontend = \"10.0.0.1:80\"", "frontend = \"host:80\"" },
    { "address = \"10.0.0.2:90\"", "address = 3" },
    { "[bounds]", "[bounds" },
  };
  for (const auto& [from, to] : cases) {
    cr_expect_neq(ErrorOf(Replaced(from, to)), "", "%s", from.c_str());
  }
  cr_expect_neq(
    ErrorOf(Replaced("grace-s = 8", "grace-s = \"long\"")).find("grace-s"),
    std::string::npos);
}

Test(PlatformInput, IgnoresMalformedServerEntries)
{
  const std::string good =
    R"({"service":"s","address":"10.0.0.3:80","zone":"z","slots":4,"state":"ready","born":7})";
  const auto server = DecodeServerEntry("i-1", good, {});
  cr_assert(server.has_value());
  cr_expect_eq(server->incarnation_.Value(), 7);
  for (
    const char* text :
    { "",
      "nonsense",
      "[]",
      "{}",
      R"({"service":1,"address":"10.0.0.3:80","zone":"z","slots":4,"state":"ready"})",
      R"({"service":"s","address":"nowhere","zone":"z","slots":4,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.3:80","zone":"z","slots":0,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.3:80","zone":"z","slots":4,"state":"other"})",
      R"({"service":"s","address":"10.0.0.3:80","zone":"z","slots":"4","state":"ready"})" }) {
    cr_expect_not(DecodeServerEntry("i-1", text, {}).has_value(), "%s", text);
  }
}

// Guards against entries of another writer that end the processes which read
// the list, for example by a conversion out of range.
Test(PlatformInput, IgnoresServerEntriesWithExtremeFields)
{
  const auto entry = [](const std::string& aSlots,
                        const std::string& aBorn,
                        const std::string& aAddress) {
    return R"({"service":"s","address":")" + aAddress +
           R"(","zone":"z","state":"ready","slots":)" + aSlots + R"(,"born":)" +
           aBorn + "}";
  };
  const char* address = "10.0.0.3:80";
  cr_assert(DecodeServerEntry("i-1", entry("4", "7", address), {}));
  const std::string deep(100000, '[');
  for (const std::string& text : {
         entry("1e300", "7", address),
         entry("-1e300", "7", address),
         entry("4.5", "7", address),
         entry("-1", "7", address),
         entry("18446744073709551616", "7", address),
         entry("4", "-7", address),
         entry("4", "1e300", address),
         entry("4", "18446744073709551616", address),
         entry("4", "\"7\"", address),
         entry("4", deep, address),
         entry("4", "7", "10.0.0.3:0"),
         entry("4", "7", "10.0.0.3:65536"),
         entry("4", "7", "10.0.0.3:-1"),
         entry("4", "7", "10.0.0.3:99999999999999999999"),
       }) {
    cr_expect_not(DecodeServerEntry("i-1", text, {}).has_value(),
                  "%s",
                  text.substr(0, 100).c_str());
  }
  // An id becomes part of a header field.
  for (const std::string& id :
       { std::string(), std::string("i\r\nX-A: b"), std::string(201, 'i') }) {
    cr_expect_not(DecodeServerEntry(id, entry("4", "7", address), {}));
  }
  for (const char* cold :
       { "1e300", "-1e300", "1e18", "9223372036854775807" }) {
    const auto server = DecodeServerEntry(
      "i-1",
      R"({"service":"s","address":"10.0.0.3:80","zone":"z","slots":4,)"
      R"("state":"ready","cold-remaining-ms":)" +
        std::string(cold) + "}",
      {});
    cr_assert(server.has_value());
    cr_expect_geq(server->coldDuration_.count(), 0);
    cr_expect_leq(server->coldDuration_, std::chrono::hours(24));
  }
}

// The same for the manifest, whose times and numbers are converted alike.
Test(PlatformInput, BoundsNumbersOfManifests)
{
  const auto manifest = DecodeManifest(
    R"({"version":4,"routes":[{"timeout-ms":1e300,"slo-ms":-1e300}]})");
  cr_assert_eq(manifest.routes_.size(), 1);
  cr_expect_leq(manifest.routes_[0].timeout_, std::chrono::hours(24));
  cr_expect_geq(manifest.routes_[0].objective_.count(), 0);
  for (const char* text : { R"({"version":1e300})",
                            R"({"version":-1})",
                            R"({"routes":[{"priority":1e300}]})",
                            R"({"routes":[{"max-attempts":-1e300}]})",
                            R"({"routes":[{"max-attempts":99999999999}]})" }) {
    cr_expect_throw(DecodeManifest(text), UserError, "%s", text);
  }
}

// Guards against one odd row that hides the others of a table.
Test(PlatformInput, ReadsTheRowsBesideOneThatCantBeRead)
{
  JsonReply reply;
  reply.status_ = 200;
  reply.body_ =
    R"({"schema-version":9,"rows":[{"key":"a","value":"","schema-version":1e300},)"
    R"({"key":7},3,{"key":"b","value":"YQ==","schema-version":8}]})";
  const auto decoded = DecodeStoreReply(reply);
  cr_assert_eq(decoded.status_, edge::StoreStatus::Ok);
  cr_assert_eq(decoded.rows_.size(), 1);
  cr_expect_eq(decoded.rows_[0].key_, "b");
  cr_expect_eq(decoded.rows_[0].version_, 8);
}

Test(PlatformInput, RejectsManifestsWithFieldsOfWrongType)
{
  cr_expect_throw(DecodeManifest("nonsense"), UserError);
  cr_expect_throw(DecodeManifest(R"({"version":"x"})"), UserError);
  cr_expect_throw(DecodeManifest(R"({"routes":[{"name":3}]})"), UserError);
  cr_expect_eq(DecodeManifest(R"({"version":4,"new":1})").version_.Value(), 4);
}

Test(PlatformInput, RemovesReservedFieldsSetByCallers)
{
  http::RequestHead head;
  for (const char* name : { "X-Tenant",
                            "x-tenant",
                            "X-PRIORITY-CLASS",
                            "Kv-From",
                            "x-pin-ms",
                            "X-Retention",
                            "X-Kv-Backup",
                            "Api-Key",
                            "X-Expect-Instance" }) {
    head.fields_.push_back({ name, "forged" });
  }
  edge::ServerRequest fields;
  fields.expected_ = ServerId("i-1");
  fields.timeout_ = std::chrono::milliseconds(70);
  fields.workspace_ = WorkspaceId("one");
  RequestCodec().encodeRequest_(head, fields);
  for (const auto& field : head.fields_) {
    cr_expect_neq(field.value_, "forged", "%s", field.name_.c_str());
  }
  cr_expect_eq(*head.Find("X-Tenant"), "one");
  cr_expect_eq(*head.Find("X-Deadline-Ms"), "70");
}

Test(PlatformInput, ClassifiesStoreRepliesWithoutResult)
{
  cr_expect_eq(DecodeStoreReply({ 200, "nonsense", true }).status_,
               edge::StoreStatus::Unknown);
  cr_expect_eq(DecodeStoreReply({ 0, "", true }).status_,
               edge::StoreStatus::Unknown);
  cr_expect_eq(DecodeStoreReply({ 0, "", false }).status_,
               edge::StoreStatus::Refused);
  cr_expect_eq(DecodeStoreReply({ 503, "", true }).status_,
               edge::StoreStatus::Refused);
  cr_expect_eq(DecodeStoreReply({ 410, "", true }).status_,
               edge::StoreStatus::HistoryGone);
}
