#pragma once

// Logging with one logger for each component. The component name is written in
// each line. Request bodies, tokens and keys are never logged.

#include <memory>
#include <string>

#include <spdlog/spdlog.h>

namespace sycamoreward {

enum class LogFormat
{
  Text,
  // One JSON object per line: time, level, component, message.
  Json
};

// Sets the format and the level of all loggers of the process. Levels are those
// of spdlog: "trace", "debug", "info", "warning", "error", "critical", "off".
// Throws UserError for another level.
void
ConfigureLogs(LogFormat aFormat, const std::string& aLevel);

// The logger of a component, such as "ledger".
std::shared_ptr<spdlog::logger>
LogFor(const std::string& aComponent);

} // namespace sycamoreward
