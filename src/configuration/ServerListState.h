#pragma once

// The platform's list of instances as known to this instance, and the backend
// servers that have reported that they are leaving. The version never
// decreases.

#include "configuration/ConfigurationSource.h"
#include "membership/Member.h"
#include "peer/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamoreward {

// An entry of the platform's list.
struct ListedInstance
{
  std::string id_;
  // "entry" for entry instances; any other role is a backend server.
  std::string role_;
  std::string pool_;
  Address address_;
  FailureDomainId failureDomain_;
  RegionId region_;
  // "live", "leaving" or "gone".
  std::string state_;
};

// The complete list, or its changes after a version.
struct ListUpdate
{
  bool isSnapshot_ = false;
  std::uint64_t after_ = 0;
  std::uint64_t version_ = 0;
  std::vector<ListedInstance> instances_;
};

// Parses the platform's response to a request for the changes after aSince:
// {"version":N,"instances":[...]}. Throws UserError when it is malformed.
ListUpdate
ParseInstanceList(const std::string& aText, std::uint64_t aSince);

// Formats an entry as an item of the feed between peers.
std::string
FormatListedInstance(const ListedInstance& aInstance);

// Throws UserError when aText is malformed.
ListedInstance
ParseListedInstance(const std::string& aText);

class ServerListState
{
public:
  std::uint64_t Version() const { return version_; }

  // Applies an update; ignores one that is not newer or would leave a gap.
  // Returns whether it was applied.
  bool Apply(const ListUpdate& aUpdate);

  // Returns the changes after a version, or the complete list when the version
  // is 0 or too old.
  ListUpdate UpdateAfter(std::uint64_t aVersion) const;

  // Records that a server is leaving. Returns whether this was not known yet;
  // false also when too many leaving servers are recorded.
  bool AddLeaving(const ServerId& aServer);

  std::vector<Server> Servers() const;

  // Returns whether the list marks an instance as gone or does not contain it.
  // False while no list is known.
  bool IsGone(const InstanceId& aInstance) const;

  // Returns the entry instances that are not gone, with incarnation 0.
  std::vector<PeerIdentity> Entries() const;

private:
  struct Entry
  {
    ListedInstance instance_;
    // Version of the update that last changed the entry.
    std::uint64_t version_ = 0;
  };

  void EvictGone();

  std::uint64_t version_ = 0;
  // All changes after this version are kept.
  std::uint64_t historyStart_ = 0;
  std::map<std::string, Entry> entries_;
  std::set<ServerId> leaving_;
};

} // namespace sycamoreward
