// Calls to the platform's services over persistent connections that go silent.

#include "JsonCall.h"
#include "base/Clock.h"
#include "http/CallerServer.h"
#include "runtime/EventLoop.h"

#include <criterion/criterion.h>

#include <list>
#include <memory>

using namespace sycamoreward;
using namespace sycamoreward::platform;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

// A service that keeps the requests until it answers them.
struct HoldingService
{
  void AnswerAll()
  {
    for (const auto& exchange : held_) {
      http::ResponseHead head;
      head.status_ = 200;
      head.reason_ = "OK";
      exchange->Answer(std::move(head), "{}");
    }
    held_.clear();
  }

  SystemClock clock_;
  EventLoop loop_{ clock_ };
  std::list<std::shared_ptr<http::CallerExchange>> held_;
  http::CallerServer server_{
    loop_,
    Address{ "127.0.0.1", 0 },
    [this](std::shared_ptr<http::CallerExchange> aExchange) {
      held_.push_back(std::move(aExchange));
    }
  };
  JsonCaller caller_{ loop_, server_.BoundAddress() };
};

} // namespace

// Guards against several calls in series without an answer: after an outage the
// idle connections of before it may all be silent, while new ones work.
Test(PlatformCall, ACallWithoutAnswerClosesTheIdleConnections)
{
  HoldingService service;
  int ended = 0;
  const auto call = [&](Duration aTimeout) {
    service.caller_.Call(
      "GET", "/", {}, "", aTimeout, [&](const JsonReply&) { ++ended; });
  };
  for (int index = 0; index < 3; ++index) {
    call(kTimeout);
  }
  service.loop_.RunUntil([&] { return service.held_.size() == 3; }, kTimeout);
  service.AnswerAll();
  cr_assert(service.loop_.RunUntil([&] { return ended == 3; }, kTimeout));
  cr_assert_eq(service.server_.ConnectionCount(), 3);
  call(std::chrono::milliseconds(50));
  cr_expect(service.loop_.RunUntil(
    [&] { return ended == 4 && service.server_.ConnectionCount() == 0; },
    std::chrono::seconds(2)));
}
