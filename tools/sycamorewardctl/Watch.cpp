#include "Watch.h"

#include "Output.h"

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kReconnectDelay{ 1 };

std::string
VersionOf(const Json& aObject)
{
  const Json::json_pointer pointer("/metadata/resourceVersion");
  return aObject.is_object() && aObject.contains(pointer) &&
             aObject[pointer].is_string()
           ? aObject[pointer].get<std::string>()
           : "";
}

// A watch with its position and the number of events printed.
class Watcher
{
public:
  Watcher(ApiClient& aClient,
          ResourceKind aKind,
          const CtlOptions& aOptions,
          std::ostream& aOut,
          std::ostream& aErr)
    : client_(aClient)
    , kind_(aKind)
    , options_(aOptions)
    , out_(aOut)
    , err_(aErr)
  {
    if (aOptions.since_ > 0) {
      since_ = std::to_string(aOptions.since_);
    }
  }

  void Run()
  {
    unsigned failures = 0;
    while (!IsDone()) {
      if (since_.empty()) {
        PrintList();
      }
      hasProgress_ = false;
      const auto end = client_.Stream(
        ResourceTarget(kind_) + "?watch=true&resourceVersion=" + since_,
        [this](const std::string& aLine) { return HandleLine(aLine); });
      if (IsDone()) {
        return;
      }
      failures = hasProgress_ ? 0 : failures + 1;
      HandleEnd(end, failures);
    }
  }

private:
  bool IsDone() const
  {
    return options_.maxEvents_ > 0 && events_ >= options_.maxEvents_;
  }

  void PrintList()
  {
    const Json list =
      client_.CallOrThrow(HttpMethod::Get, ResourceTarget(kind_));
    PrintResources(
      list.at("items").get<std::vector<Json>>(), options_.format_, out_);
    out_.flush();
    since_ = VersionOf(list);
    if (since_.empty()) {
      throw InternalError(
        "watch", "", "The list has no metadata.resourceVersion.");
    }
  }

  bool HandleLine(const std::string& aLine)
  {
    if (aLine.empty()) {
      return true;
    }
    const Json event = Json::parse(aLine, nullptr, false);
    if (!event.is_object()) {
      err_ << "A line of the watch is not a JSON object and was skipped: "
           << aLine.substr(0, 80) << "\n";
      return true;
    }
    hasProgress_ = true;
    const Json object = event.value("object", Json());
    const std::string version = VersionOf(object);
    if (!version.empty()) {
      since_ = version;
    }
    // A bookmark only advances the revision.
    if (event.value("type", "") != "BOOKMARK") {
      PrintEvent(event, options_.format_, out_);
      ++events_;
    }
    return !IsDone();
  }

  void HandleEnd(const ApiClient::StreamEnd& aEnd, unsigned aFailures)
  {
    if (aEnd.status_ == 410) {
      err_ << "Revision " << since_
           << " is too old to watch from; printing a new list.\n";
      since_.clear();
    } else if (aEnd.status_ >= 400 && aEnd.status_ < 500) {
      throw ApiError(
        "watch",
        { aEnd.status_, Json::parse(aEnd.error_, nullptr, false), {} });
    }
    if (aFailures >= kMaxWatchFailures) {
      throw InternalError("watch",
                          "",
                          "The watch ended " + std::to_string(aFailures) +
                            " times in a row without an event; the last time "
                            "with: " +
                            ToString(aEnd.end_) + ".");
    }
    if (aFailures > 0) {
      client_.RunLoopFor(kReconnectDelay);
    }
  }

  ApiClient& client_;
  ResourceKind kind_;
  const CtlOptions& options_;
  std::ostream& out_;
  std::ostream& err_;
  std::string since_;
  std::uint64_t events_ = 0;
  bool hasProgress_ = false;
};

} // namespace

void
WatchResources(ApiClient& aClient,
               ResourceKind aKind,
               const CtlOptions& aOptions,
               std::ostream& aOut,
               std::ostream& aErr)
{
  Watcher(aClient, aKind, aOptions, aOut, aErr).Run();
}

} // namespace sycamoreward
