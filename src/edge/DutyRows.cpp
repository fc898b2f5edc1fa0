#include "edge/DutyRows.h"

#include <nlohmann/json.hpp>

namespace sycamoreward::edge {

namespace {

// Numbers in rows that an instance has written are far smaller. Larger ones
// would overflow when they are counted up.
constexpr std::uint64_t kMaxNumber = std::uint64_t(1) << 62;

// Returns 0 if aJson has no such number.
std::uint64_t
Number(const nlohmann::json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  const bool isUsable = found != aJson.end() && found->is_number_unsigned() &&
                        found->get<std::uint64_t>() <= kMaxNumber;
  return isUsable ? found->get<std::uint64_t>() : 0;
}

} // namespace

std::string
EncodeLease(const LeaseRow& aRow)
{
  return nlohmann::json{
    { "instance", aRow.instance_.Value() },
    { "incarnation", aRow.incarnation_.Value() },
    { "epoch", aRow.epoch_.Value() },
    { "era", aRow.era_.Value() },
    { "firstWindow", aRow.firstWindow_ }
  }.dump();
}

LeaseRow
DecodeLease(const StoreRow& aRow)
{
  LeaseRow lease;
  lease.version_ = aRow.version_;
  const auto json = nlohmann::json::parse(aRow.value_, nullptr, false);
  if (!json.is_object()) {
    return lease;
  }
  const auto instance = json.find("instance");
  if (instance != json.end() && instance->is_string()) {
    lease.instance_ = InstanceId(instance->get<std::string>());
  }
  lease.incarnation_ = Incarnation(Number(json, "incarnation"));
  lease.epoch_ = FencingToken(Number(json, "epoch"));
  lease.era_ = StoreEra(Number(json, "era"));
  lease.firstWindow_ = Number(json, "firstWindow");
  return lease;
}

std::optional<WorkspaceCounts>
DecodeCounts(const std::string& aText)
{
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  WorkspaceCounts counts;
  for (const auto& [workspace, count] : json.items()) {
    if (!count.is_number_unsigned() ||
        count.get<std::uint64_t>() > kMaxNumber) {
      return std::nullopt;
    }
    counts[workspace] = count.get<std::uint64_t>();
  }
  return counts;
}

} // namespace sycamoreward::edge
