#pragma once

// Polls the platform's instance metadata for a reclaim notice.

#include "base/Address.h"
#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sycamoreward {

// Parses a reclaim notice and returns the time at which the instance is
// reclaimed. Empty if aBody is not a notice. The format is that of the metadata
// path spot/instance-action:
// {"action":"terminate","time":"2030-01-31T12:00:00Z"}.
std::optional<WallTime>
ParseNotice(const std::string& aBody);

// Polls for a reclaim notice until the first one arrives.
class NoticeWatch
{
public:
  // Starts to poll at once. aOnNotice is called once, with the time left until
  // the reclaim (at least 0).
  NoticeWatch(EventLoop& aLoop,
              HttpClient& aClient,
              const Address& aAddress,
              const std::string& aPath,
              std::function<void(Duration aLeft)> aOnNotice);
  ~NoticeWatch();
  NoticeWatch(const NoticeWatch&) = delete;
  NoticeWatch& operator=(const NoticeWatch&) = delete;

  // A notice comes only seconds ahead of the reclaim, so polls are frequent.
  static constexpr std::chrono::milliseconds kInterval{ 500 };

private:
  void Poll();
  void OnReply(const HttpClientReply& aReply);

  EventLoop& loop_;
  HttpClient& client_;
  Address address_;
  std::string path_;
  std::function<void(Duration)> onNotice_;
  EventLoop::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
