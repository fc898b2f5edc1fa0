#pragma once

// Watches the platform's instance metadata for a reclaim notice.

#include "base/Address.h"
#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sycamoreward {

// The time at which a notice takes the instance away. Empty when aBody is not a
// notice. The form is that of the metadata path spot/instance-action:
// {"action":"terminate","time":"2030-01-31T12:00:00Z"}.
std::optional<WallTime>
ParseNotice(const std::string& aBody);

class NoticeWatch
{
public:
  // Calls aOnNotice once, with the time that is left.
  NoticeWatch(EventLoop& aLoop,
              HttpClient& aClient,
              const Address& aAddress,
              const std::string& aPath,
              std::function<void(Duration aLeft)> aOnNotice);
  ~NoticeWatch();
  NoticeWatch(const NoticeWatch&) = delete;
  NoticeWatch& operator=(const NoticeWatch&) = delete;

  // A notice is announced seconds ahead, so each second counts.
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
