#include "ExplainRequest.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// State changes within this time before the request's last line are shown, in
// microseconds. It is the longest deadline of a request.
constexpr std::int64_t kStateWindowUs = 15'000'000;

// Log events that report a change in the state of an instance, such as its
// readiness, duties, deployment or the reachability of the store.
const std::set<std::string> kStateEvents{ "started",
                                          "stopped",
                                          "ready",
                                          "not_ready",
                                          "drain_started",
                                          "drain_ended",
                                          "store_lost",
                                          "store_regained",
                                          "deployment_in_force",
                                          "pause_noticed",
                                          "deployment_refused",
                                          "engines_reclaimed",
                                          "order_failed",
                                          "duties_claimed",
                                          "duties_lost" };

struct LogEntry
{
  std::int64_t timeUs_ = 0;
  std::string file_;
  Json line_;
};

// Parses the JSON object in a line, after any prefix that a log collector
// added. Returns a discarded value when there is none.
Json
ParseLine(const std::string& aLine)
{
  const auto begin = aLine.find('{');
  return begin == std::string::npos
           ? Json(Json::value_t::discarded)
           : Json::parse(aLine.substr(begin), nullptr, false);
}

void
ReadFile(const std::string& aFile,
         const std::string& aRequest,
         std::vector<LogEntry>& aRequestEntries,
         std::vector<LogEntry>& aStateEntries)
{
  std::ifstream input(aFile);
  if (!input) {
    throw UserError(
      "read log", aFile, "The log \"" + aFile + "\" can't be read.");
  }
  for (std::string text; std::getline(input, text);) {
    Json line = ParseLine(text);
    if (!line.is_object()) {
      continue;
    }
    const auto time = line.find("timeUs");
    const auto event = line.find("event");
    if (time == line.end() || !time->is_number_integer() ||
        event == line.end() || !event->is_string()) {
      continue;
    }
    const auto request = line.find("request");
    const bool isRequestEntry = request != line.end() && *request == aRequest;
    if (isRequestEntry || kStateEvents.count(event->get<std::string>()) != 0) {
      LogEntry entry{ time->get<std::int64_t>(), aFile, std::move(line) };
      (isRequestEntry ? aRequestEntries : aStateEntries)
        .push_back(std::move(entry));
    }
  }
}

void
PrintEntry(const LogEntry& aEntry, std::int64_t aOriginUs, std::ostream& aOut)
{
  const double seconds = double(aEntry.timeUs_ - aOriginUs) / 1e6;
  char time[32];
  std::snprintf(time, sizeof time, "%+10.3f s ", seconds);
  aOut << time << aEntry.file_ << ": "
       << aEntry.line_["event"].get<std::string>();
  for (const auto& [name, value] : aEntry.line_.items()) {
    if (name != "timeUs" && name != "event" && name != "request") {
      aOut << " " << name << "=" << value.dump();
    }
  }
  aOut << "\n";
}

} // namespace

int
ExplainRequest(const std::vector<std::string>& aFiles,
               const std::string& aRequest,
               std::ostream& aOut)
{
  std::vector<LogEntry> requestEntries;
  std::vector<LogEntry> stateEntries;
  for (const std::string& file : aFiles) {
    ReadFile(file, aRequest, requestEntries, stateEntries);
  }
  if (requestEntries.empty()) {
    aOut << "No log line names the request " << aRequest << ".\n";
    return 1;
  }
  const auto byTime = [](const LogEntry& aLeft, const LogEntry& aRight) {
    return aLeft.timeUs_ < aRight.timeUs_;
  };
  std::stable_sort(requestEntries.begin(), requestEntries.end(), byTime);
  std::stable_sort(stateEntries.begin(), stateEntries.end(), byTime);
  const std::int64_t first = requestEntries.front().timeUs_;
  const std::int64_t last = requestEntries.back().timeUs_;
  aOut << "Request " << aRequest << ":\n";
  for (const LogEntry& entry : requestEntries) {
    PrintEntry(entry, first, aOut);
  }
  aOut << "State changes in the " << kStateWindowUs / 1'000'000
       << " s before its last line:\n";
  for (const LogEntry& entry : stateEntries) {
    if (entry.timeUs_ <= last && entry.timeUs_ >= last - kStateWindowUs) {
      PrintEntry(entry, first, aOut);
    }
  }
  return 0;
}

} // namespace sycamoreward
