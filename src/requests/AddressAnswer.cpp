#include "requests/AddressAnswer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward {

namespace {

const Member*
FindSelf(const MemberList& aMembers)
{
  for (const Member& member : aMembers.members_) {
    if (member.identity_.instance_ == aMembers.self_) {
      return &member;
    }
  }
  return nullptr;
}

int
// Returns 0 within a failure domain, 1 within a region and 2 across regions.
Distance(const PeerIdentity& aFrom, const PeerIdentity& aTo)
{
  if (aFrom.region_ != aTo.region_) {
    return 2;
  }
  return aFrom.failureDomain_ == aTo.failureDomain_ ? 0 : 1;
}

} // namespace

std::string
WriteAddresses(const MemberList& aMembers,
               std::chrono::seconds aTimeToLive,
               std::size_t aLimit)
{
  std::vector<const PeerIdentity*> listed;
  for (const Member& member : aMembers.members_) {
    if (member.state_ == MemberState::Live) {
      listed.push_back(&member.identity_);
    }
  }
  if (const Member* self = FindSelf(aMembers)) {
    std::stable_sort(
      listed.begin(),
      listed.end(),
      [&](const PeerIdentity* aLeft, const PeerIdentity* aRight) {
        return Distance(self->identity_, *aLeft) <
               Distance(self->identity_, *aRight);
      });
  }
  listed.resize(std::min(listed.size(), aLimit));
  nlohmann::json addresses = nlohmann::json::array();
  for (const PeerIdentity* identity : listed) {
    addresses.push_back({ { "address", ToString(identity->callerAddress_) },
                          { "failureDomain", identity->failureDomain_.Value() },
                          { "region", identity->region_.Value() } });
  }
  return nlohmann::json{
    { "addresses", addresses }, { "ttlSeconds", aTimeToLive.count() }
  }.dump();
}

} // namespace sycamoreward
