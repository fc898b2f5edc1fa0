#include "recovery/NoticeWatch.h"

#include "base/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>

namespace sycamoreward {

namespace {

constexpr std::chrono::seconds kTimeout{ 1 };

} // namespace

std::optional<WallTime>
ParseNotice(const std::string& aBody)
{
  const auto json = ParseBoundedJson(aBody);
  if (!json.is_object() || !json.contains("time") ||
      !json["time"].is_string()) {
    return std::nullopt;
  }
  std::tm parts{};
  const std::string text = json["time"];
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (end == nullptr) {
    return std::nullopt;
  }
  return WallTime(std::chrono::seconds(timegm(&parts)));
}

NoticeWatch::NoticeWatch(EventLoop& aLoop,
                         HttpClient& aClient,
                         const Address& aAddress,
                         const std::string& aPath,
                         std::function<void(Duration aLeft)> aOnNotice)
  : loop_(aLoop)
  , client_(aClient)
  , address_(aAddress)
  , path_(aPath)
  , onNotice_(std::move(aOnNotice))
{
  Poll();
}

NoticeWatch::~NoticeWatch()
{
  loop_.CancelTimer(timer_);
}

void
NoticeWatch::Poll()
{
  HttpClientRequest request;
  request.address_ = address_;
  request.target_ = path_;
  request.connectTimeout_ = kTimeout;
  request.silenceTimeout_ = kTimeout;
  client_.Fetch(
    request,
    [this, alive = std::weak_ptr<bool>(alive_)](const HttpClientReply& aReply) {
      if (!alive.expired()) {
        OnReply(aReply);
      }
    });
}

void
NoticeWatch::OnReply(const HttpClientReply& aReply)
{
  if (aReply.end_ == HttpEnd::Complete && aReply.status_ == 200) {
    if (const auto time = ParseNotice(aReply.body_)) {
      const Duration left = *time - loop_.GetClock().Wall();
      onNotice_(std::max(left, Duration(0)));
      return;
    }
  }
  timer_ = loop_.CallAfter(kInterval, [this] { Poll(); });
}

} // namespace sycamoreward
