// The request rates that servers name: how they are read, how long they hold,
// and what they mean for the number of engines.

#include "edge/RateLimit.h"
#include "RequestHeaders.h"
#include "edge/EnginePlan.h"
#include "edge/Placement.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

const MonotonicTime kStart = MonotonicTime(std::chrono::hours(1));

ServerAnswer
AnswerWith(const std::vector<std::string>& aLimits)
{
  http::ResponseHead head;
  head.status_ = 200;
  for (const std::string& limit : aLimits) {
    head.fields_.push_back({ "Server-Limit", limit });
  }
  return platform::RequestCodec().decodeAnswer_(head, kStart);
}

MonotonicTime
After(double aSeconds)
{
  return kStart + std::chrono::milliseconds(std::int64_t(aSeconds * 1000));
}

} // namespace

Test(RateLimit, ReadsDecimalNumbers)
{
  cr_expect_eq(AnswerWith({ "1.1" }).limit_->Value(), 1.1);
  cr_expect_eq(AnswerWith({ "25" }).limit_->Value(), 25.0);
  // The server takes nothing at all.
  cr_expect_eq(AnswerWith({ "0" }).limit_->Value(), 0.0);
  const ServerAnswer none = AnswerWith({});
  cr_expect_not(none.limit_.has_value());
  cr_expect_not(none.hasMalformedLimit_);
}

// A limit that can't be read neither sets nor lifts one.
Test(RateLimit, RefusesWhatIsNoDecimalNumber)
{
  for (const char* text : { "",
                            "-1",
                            "+1",
                            "nan",
                            "inf",
                            "1e300",
                            "0x10",
                            "1 2",
                            "1,2",
                            "1.",
                            ".5",
                            "1.2.3",
                            "many",
                            "9999999999999999999999" }) {
    const ServerAnswer answer = AnswerWith({ text });
    cr_expect_not(answer.limit_.has_value(), "'%s'", text);
    cr_expect(answer.hasMalformedLimit_, "'%s'", text);
  }
  const ServerAnswer twice = AnswerWith({ "1", "1" });
  cr_expect_not(twice.limit_.has_value());
  cr_expect(twice.hasMalformedLimit_);
}

// Guards against news of another instance that is older than an own answer.
Test(RateLimit, OlderNewsDoNotChangeALimit)
{
  RateLimit limit;
  RecordLimit(limit, RequestRate(1), After(1));
  cr_expect_not(
    RecordRelayedLimit(limit, std::nullopt, After(0.5), After(1.2)));
  cr_expect(RecordRelayedLimit(limit, std::nullopt, After(1.5), After(1.6)));
  cr_expect_not(limit.rate_.has_value());
  cr_expect_not(
    RecordRelayedLimit(limit, RequestRate(1), After(1.2), After(1.7)));
}

// Guards against an instance that never sends to a server again because it
// missed the news that its limit was lifted.
Test(RateLimit, ALimitThatNoAnswerConfirmsIsLifted)
{
  RateLimit limit;
  RecordLimit(limit, RequestRate(1), After(0));
  RecordRelayedLimit(limit, RequestRate(1), After(10), After(10));
  cr_expect_not(LiftUnconfirmed(limit, After(20)));
  cr_expect(LiftUnconfirmed(limit, After(23)));
  cr_expect(MaySend(limit, After(23)));
}

// Also a server that takes nothing is asked now and then, or its limit could
// never be lifted.
Test(RateLimit, AServerThatTakesNothingIsAskedRarely)
{
  RateLimit limit;
  RecordLimit(limit, RequestRate(0), After(0));
  SetPart(limit, EqualPart(RequestRate(0), 1), After(0));
  int sent = 0;
  for (int tenth = 0; tenth < 600; ++tenth) {
    if (MaySend(limit, After(tenth * 0.1))) {
      CountSent(limit, After(tenth * 0.1));
      ++sent;
    }
  }
  cr_expect_geq(sent, 5);
  cr_expect_leq(sent, 15);
}

// Guards against a limit that stays because other servers are cheaper, for
// example because there are idle connections to them.
Test(RateLimit, ALimitedServerIsAskedAlthoughOthersAreCheaper)
{
  PoolView pool;
  for (const char* name : { "limited", "other" }) {
    BackendView& view = pool.servers_[ServerId(name)];
    view.server_.id_ = ServerId(name);
    view.hasIdleChannel_ = view.server_.id_ == ServerId("other");
  }
  RateLimit& limit = pool.servers_[ServerId("limited")].limit_;
  RecordLimit(limit, RequestRate(1), After(0));
  SetPart(limit, EqualPart(RequestRate(1), 1), After(0));
  PlacementQuery query;
  query.now_ = After(1);
  cr_expect_eq(ChooseServer(pool, query).server_, ServerId("other"));
  query.now_ = After(3);
  cr_expect_eq(ChooseServer(pool, query).server_, ServerId("limited"));
  CountSent(limit, query.now_);
  RecordLimit(limit, RequestRate(1), After(3.1));
  query.now_ = After(4);
  cr_expect_eq(ChooseServer(pool, query).server_, ServerId("other"));
}

// Guards against a pool of limited engines that is not replaced.
Test(RateLimit, LimitedEnginesAreReplaced)
{
  EnginePlanInputs inputs;
  inputs.present_[FailureDomainId("north")] = { 12, 0 };
  inputs.max_ = 60;
  inputs.demand_ = 100000;
  inputs.engineRate_ = 40000;
  inputs.now_ = kStart;
  EnginePlan plain;
  UpdatePlan(plain, inputs);
  inputs.limited_ = 12;
  EnginePlan limited;
  UpdatePlan(limited, inputs);
  const auto ordered = [](const EnginePlan& aPlan) {
    return aPlan.domains_.at(FailureDomainId("north")).ordered_.reserved_;
  };
  cr_expect_geq(ordered(limited), ordered(plain) + 6);
}
