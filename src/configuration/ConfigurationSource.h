#pragma once

// Read access to the configuration in force on this instance and to its list of
// backend servers.

#include "configuration/Resource.h"
#include "routing/Server.h"

#include <functional>
#include <memory>
#include <vector>

namespace sycamoreward {

class ConfigurationSource
{
public:
  virtual ~ConfigurationSource() = default;

  // Returns the current configuration. Never null: before the first one is
  // known, it is empty and at revision 0. The returned object does not change
  // later.
  virtual std::shared_ptr<const Configuration> Current() const = 0;

  // Calls aObserver after each change, on the event loop of the implementation.
  virtual void OnChange(std::function<void()> aObserver) = 0;
};

class ServerList
{
public:
  virtual ~ServerList() = default;

  // Returns the servers of the newest known list, updated with the state that
  // servers and peers have reported since. Leaving servers are included.
  virtual std::vector<Server> Servers() const = 0;

  virtual void OnChange(std::function<void()> aObserver) = 0;

  // Records that a server reports that it is leaving, and spreads this to
  // peers.
  virtual void ReportLeaving(const ServerId& aServer) = 0;
};

} // namespace sycamoreward
