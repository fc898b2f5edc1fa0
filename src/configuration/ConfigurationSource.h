#pragma once

// Read access to the configuration and to the list of backend servers in
// force on this instance.

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

  // Never null; an empty one at revision 0 before the first is known. A holder
  // keeps the version that it began with.
  virtual std::shared_ptr<const Configuration> Current() const = 0;

  // Calls aObserver after each change, on the loop of the owner.
  virtual void OnChange(std::function<void()> aObserver) = 0;
};

class ServerList
{
public:
  virtual ~ServerList() = default;

  // Servers by the newest list known here, corrected by what servers and peers
  // said since. Servers that leave are included with their state.
  virtual std::vector<Server> Servers() const = 0;

  virtual void OnChange(std::function<void()> aObserver) = 0;

  // Reports that a server said that it leaves, to be spread to peers.
  virtual void ReportLeaving(const ServerId& aServer) = 0;
};

} // namespace sycamoreward
