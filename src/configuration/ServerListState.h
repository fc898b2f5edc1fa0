#pragma once

// The platform's list of instances as one instance knows it, and which backend
// servers said that they leave. The version only goes up.

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

// An instance of the platform's list.
struct ListedInstance
{
  std::string id_;
  // "entry" for entry instances; all others are backend servers.
  std::string role_;
  std::string pool_;
  Address address_;
  FailureDomainId failureDomain_;
  RegionId region_;
  // "live", "leaving" or "gone".
  std::string state_;
};

// The list, or what changed in it after a version.
struct ListUpdate
{
  bool isSnapshot_ = false;
  std::uint64_t after_ = 0;
  std::uint64_t version_ = 0;
  std::vector<ListedInstance> instances_;
};

// Reads the platform's answer to a request for what follows aSince:
// {"version":N,"instances":[...]}. Throws UserError for a text of another form.
ListUpdate
ParseInstanceList(const std::string& aText, std::uint64_t aSince);

// Form of an item of the feed between peers.
std::string
FormatListedInstance(const ListedInstance& aInstance);

// Throws UserError for a text of another form.
ListedInstance
ParseListedInstance(const std::string& aText);

class ServerListState
{
public:
  std::uint64_t Version() const { return version_; }

  // Ignores an update that is not newer or that would leave a gap. Returns
  // whether it was applied.
  bool Apply(const ListUpdate& aUpdate);

  // What follows a version; the whole list when it is 0 or too old.
  ListUpdate UpdateAfter(std::uint64_t aVersion) const;

  // A server said that it leaves. Returns whether this is news.
  bool AddLeaving(const ServerId& aServer);

  std::vector<Server> Servers() const;

  // Whether a known list says that an instance has ended, or does not have it.
  bool IsGone(const InstanceId& aInstance) const;

  // The entry instances that are not gone, with incarnation 0.
  std::vector<PeerIdentity> Entries() const;

private:
  struct Entry
  {
    ListedInstance instance_;
    // Version of the update that brought it.
    std::uint64_t version_ = 0;
  };

  void EvictGone();

  std::uint64_t version_ = 0;
  // Updates after this version are complete.
  std::uint64_t historyStart_ = 0;
  std::map<std::string, Entry> entries_;
  std::set<ServerId> leaving_;
};

} // namespace sycamoreward
