#include "edge/MemberRow.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

namespace sycamoreward::edge {

std::string
EncodeMember(const PeerIdentity& aIdentity)
{
  return nlohmann::json{
    { "instance", aIdentity.instance_.Value() },
    { "incarnation", aIdentity.incarnation_.Value() },
    { "domain", aIdentity.failureDomain_.Value() },
    { "region", aIdentity.region_.Value() },
    { "peer", ToString(aIdentity.peerAddress_) },
    { "caller", ToString(aIdentity.callerAddress_) },
    { "strength", aIdentity.strength_ }
  }.dump();
}

std::optional<PeerIdentity>
DecodeMember(const std::string& aValue)
{
  const auto json = nlohmann::json::parse(aValue, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    PeerIdentity identity;
    identity.instance_ = InstanceId(json.at("instance").get<std::string>());
    identity.incarnation_ =
      Incarnation(json.at("incarnation").get<std::uint64_t>());
    identity.failureDomain_ =
      FailureDomainId(json.at("domain").get<std::string>());
    identity.region_ = RegionId(json.at("region").get<std::string>());
    identity.peerAddress_ = ParseAddress(json.at("peer").get<std::string>());
    identity.callerAddress_ =
      ParseAddress(json.at("caller").get<std::string>());
    identity.strength_ = json.value("strength", std::uint64_t());
    return identity;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  } catch (const UserError&) {
    return std::nullopt;
  }
}

} // namespace sycamoreward::edge
