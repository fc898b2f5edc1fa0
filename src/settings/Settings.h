#pragma once

// Settings of sycamorewardd: what one instance knows before it meets others.
// Units, ranges and defaults are in SettingsTable.h.

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

// Addresses of this instance, as other processes reach it.
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
};

struct DrainSettings
{
  // Time that an idle caller's connection stays open after the drain began.
  Duration idleConnection_{ 0 };
  // Part of a reclaim notice that is kept for handing requests over.
  Duration handOverReserve_{ 0 };
};

// Lease and orders of the fleet task.
struct FleetSettings
{
  Duration lease_{ 0 };
  Duration renew_{ 0 };
  Duration orderTimeout_{ 0 };
};

struct TraceSettings
{
  // Receiver of OTLP JSON; none when empty.
  std::optional<Address> export_;
};

struct Settings
{
  InstanceSettings instance_;
  ListenSettings listen_;
  PlatformSettings platform_;
  // Peer addresses of instances to ask at the start.
  std::vector<Address> seeds_;
  LogSettings log_;
  std::vector<OperatorSettings> operators_;
  LimitSettings limits_;
  DrainSettings drain_;
  FleetSettings fleet_;
  TraceSettings trace_;
};

// A settings file is at fault. The message has one line for each fault.
class SettingsError : public UserError
{
public:
  explicit SettingsError(std::vector<FileError> aFileErrors);

  const std::vector<FileError>& FileErrors() const { return fileErrors_; }

private:
  std::vector<FileError> fileErrors_;
};

// Reads a settings file of one YAML document. Throws SettingsError with all
// faults at once.
Settings
LoadSettings(const std::string& aFile);

// The same for a text; aFile is used in faults only.
Settings
ParseSettings(const std::string& aFile, const std::string& aText);

} // namespace sycamoreward
