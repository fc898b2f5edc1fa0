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
