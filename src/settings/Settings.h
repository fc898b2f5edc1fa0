#pragma once

// Settings of sycamorewardd: the values that an instance needs before it has
// contacted other instances. Units, ranges and defaults are in SettingsTable.h.

#include "base/Address.h"
#include "base/Clock.h"
#include "base/Error.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "settings/YamlDocument.h"
#include "telemetry/Log.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

struct InstanceSettings
{
  InstanceId id_;
  FailureDomainId failureDomain_;
  RegionId region_;
};

// Addresses of this instance, as reachable from other processes.
struct ListenSettings
{
  Address callers_;
  Address operators_;
  Address peers_;
};

struct PlatformSettings
{
  Address table_;
  std::string tableName_;
  Address objectStore_;
  std::string bucket_;
  Address instanceList_;
  // Instance metadata service, which announces reclaims. Empty when the
  // instance is not reclaimable.
  std::optional<Address> notices_;
  std::string noticePath_;
};

struct LogSettings
{
  LogFormat format_ = LogFormat::Text;
  std::string level_;
};

enum class OperatorRole
{
  // Reads resources, watches and outcomes.
  Reader,
  // Also changes resources.
  Writer
};

struct OperatorSettings
{
  // SHA-256 of the token, in lower-case hexadecimal.
  std::string tokenDigest_;
  OperatorRole role_ = OperatorRole::Reader;
};

struct LimitSettings
{
  unsigned maxConnections_ = 0;
  unsigned maxRequests_ = 0;
  Bytes maxBody_;
  // Memory of the process; 0 if it is that of the machine.
  Bytes memory_;
};

struct DrainSettings
{
  // Time for which an idle connection of a caller stays open after draining
  // starts.
  Duration idleConnection_{ 0 };
  // Part of the time of a reclaim notice that is reserved for handing over
  // requests.
  Duration handOverReserve_{ 0 };
};

// Timing of the lease and the orders of the fleet task.
struct FleetSettings
{
  Duration lease_{ 0 };
  Duration renew_{ 0 };
  Duration orderTimeout_{ 0 };
};

struct TraceSettings
{
  // Receiver of traces as OTLP JSON; empty to send none.
  std::optional<Address> export_;
};

struct Settings
{
  InstanceSettings instance_;
  ListenSettings listen_;
  PlatformSettings platform_;
  // Peer addresses of the instances to contact at startup.
  std::vector<Address> seeds_;
  LogSettings log_;
  std::vector<OperatorSettings> operators_;
  LimitSettings limits_;
  DrainSettings drain_;
  FleetSettings fleet_;
  TraceSettings trace_;
};

// Thrown for an invalid settings file. The message has one line for each error.
class SettingsError : public UserError
{
public:
  explicit SettingsError(std::vector<FileError> aFileErrors);

  const std::vector<FileError>& FileErrors() const { return fileErrors_; }

private:
  std::vector<FileError> fileErrors_;
};

// Loads a settings file, which holds one YAML document. Throws SettingsError
// with all errors at once.
Settings
LoadSettings(const std::string& aFile);

// Same as LoadSettings, for a text. aFile is only used in error messages.
Settings
ParseSettings(const std::string& aFile, const std::string& aText);

} // namespace sycamoreward
