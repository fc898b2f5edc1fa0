#pragma once

// Command line of sycamorewardctl.

#include "base/Address.h"
#include "base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamoreward {

enum class OutputFormat
{
  Table,
  Json,
  Yaml
};

struct CtlOptions
{
  std::string command_;
  // Words after the command.
  std::vector<std::string> arguments_;
  // Files and folders of resources.
  std::vector<std::string> files_;
  OutputFormat format_ = OutputFormat::Table;
  // Addresses of the operators' API; the next is tried when one can't be
  // reached.
  std::vector<Address> servers_;
  // Addresses of the callers' API, for `request`.
  std::vector<Address> callers_;
  std::string tokenFile_;
  // The platform's stores, for `journal verify`.
  std::vector<Address> table_;
  std::string tableName_;
  std::vector<Address> objectStore_;
  std::string bucket_;
  std::string region_;
  bool isDryRun_ = false;
  bool isPrune_ = false;
  bool isWait_ = false;
  // `validate` checks settings files in place of resources.
  bool isSettings_ = false;
  Duration waitTimeout_ = std::chrono::seconds(60);
  // `watch` begins after this revision; 0 begins with a list.
  std::uint64_t since_ = 0;
  // `watch` ends after this many events; 0 is no end.
  std::uint64_t maxEvents_ = 0;
  // The help or version text; when set, it is printed and nothing else is done.
  std::string infoText_;
};

// Reads the arguments and the environment variables SYCAMOREWARD_SERVER and
// SYCAMOREWARD_CALLERS. Throws UserError.
CtlOptions
ParseCtlOptions(int aCount, const char* const* aArguments);

} // namespace sycamoreward
