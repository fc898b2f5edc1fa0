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

// A parsed command line.
struct CtlOptions
{
  std::string command_;
  // Positional arguments after the command.
  std::vector<std::string> arguments_;
  // Files and folders of resources.
  std::vector<std::string> files_;
  OutputFormat format_ = OutputFormat::Table;
  // Addresses of the operators' API. When one is unreachable, the next is
  // tried.
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
  // `validate` checks settings files instead of resources.
  bool isSettings_ = false;
  Duration waitTimeout_ = std::chrono::seconds(60);
  // `watch` starts after this revision; 0 starts with a list.
  std::uint64_t since_ = 0;
  // `watch` ends after this many events; 0 means no limit.
  std::uint64_t maxEvents_ = 0;
  // The help or version text. When set, it is printed and no command runs.
  std::string infoText_;
};

// Parses the arguments and the environment variables SYCAMOREWARD_SERVER,
// SYCAMOREWARD_CALLERS, SYCAMOREWARD_TABLE and SYCAMOREWARD_OBJECT_STORE.
// Throws UserError when they are invalid.
CtlOptions
ParseCtlOptions(int aCount, const char* const* aArguments);

} // namespace sycamoreward
