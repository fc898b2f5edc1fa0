#include "telemetry/Log.h"

#include "base/Error.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>
#include <spdlog/formatter.h>
#include <spdlog/pattern_formatter.h>

namespace sycamoreward {

namespace {

constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %L %n: %v";

// Writes one JSON object per line, with the message escaped.
class JsonFormatter final : public spdlog::formatter
{
public:
  void format( // NOLINT(readability-identifier-naming): named by spdlog
    const spdlog::details::log_msg& aMessage,
    spdlog::memory_buf_t& aOut) override
  {
    const auto sinceEpoch =
      std::chrono::duration_cast<std::chrono::microseconds>(
        aMessage.time.time_since_epoch());
    const auto level = spdlog::level::to_string_view(aMessage.level);
    const nlohmann::ordered_json line = {
      { "timeUs", sinceEpoch.count() },
      { "level", std::string(level.data(), level.size()) },
      { "component",
        std::string(aMessage.logger_name.data(), aMessage.logger_name.size()) },
      { "message",
        std::string(aMessage.payload.data(), aMessage.payload.size()) }
    };
    const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    aOut.append(text.data(), text.data() + text.size());
    aOut.push_back('\n');
  }

  std::unique_ptr<spdlog::formatter> clone() const override // NOLINT
  {
    return std::make_unique<JsonFormatter>();
  }
};

std::shared_ptr<spdlog::sinks::sink>
Sink()
{
  static const auto kSink = [] {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    sink->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      kTextPattern, spdlog::pattern_time_type::utc));
    return sink;
  }();
  return kSink;
}

} // namespace

void
ConfigureLogs(LogFormat aFormat, const std::string& aLevel)
{
  const auto level = spdlog::level::from_str(aLevel);
  // from_str returns "off" for unknown names.
  if (level == spdlog::level::off && aLevel != "off") {
    throw UserError("configure logs",
                    "",
                    "\"" + aLevel +
                      "\" is not a log level; use trace, debug, info, "
                      "warning, error, critical or off.");
  }
  if (aFormat == LogFormat::Json) {
    Sink()->set_formatter(std::make_unique<JsonFormatter>());
  }
  spdlog::set_level(level);
}

std::shared_ptr<spdlog::logger>
LogFor(const std::string& aComponent)
{
  if (auto logger = spdlog::get(aComponent)) {
    return logger;
  }
  auto logger = std::make_shared<spdlog::logger>(aComponent, Sink());
  // initialize_logger would replace the formatter of the shared sink.
  spdlog::register_logger(logger);
  logger->set_level(spdlog::get_level());
  return logger;
}

} // namespace sycamoreward
