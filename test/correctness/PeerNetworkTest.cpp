// Exchanges messages between WebSocketPeerNetworks over loopback.

#include "base/Clock.h"
#include "peer/MessageCodec.h"
#include "peer/WebSocketPeerNetwork.h"
#include "runtime/EventLoop.h"

#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>

using namespace sycamoreward;

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

PeerIdentity
IdentityOf(const std::string& aName, std::uint64_t aIncarnation)
{
  PeerIdentity identity;
  identity.instance_ = InstanceId(aName);
  identity.incarnation_ = Incarnation(aIncarnation);
  identity.failureDomain_ = FailureDomainId("fd-1");
  identity.region_ = RegionId("r-1");
  identity.peerAddress_ = Address{ "127.0.0.1", 0 };
  return identity;
}

struct Fixture
{
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  std::vector<std::unique_ptr<WebSocketPeerNetwork>> networks_;

  WebSocketPeerNetwork& Add(const std::string& aName,
                            PeerNetworkOptions aOptions = {})
  {
    networks_.push_back(std::make_unique<WebSocketPeerNetwork>(
      loop_, aOptions, IdentityOf(aName, 5)));
    return *networks_.back();
  }

  PeerReply Call(WebSocketPeerNetwork& aFrom,
                 const PeerIdentity& aTo,
                 const Message& aMessage,
                 Duration aTimeout = kTimeout)
  {
    std::optional<PeerReply> reply;
    aFrom.Call(aTo, aMessage, aTimeout, [&](PeerReply aReply) {
      cr_assert_not(reply.has_value(), "a call was answered twice");
      reply = std::move(aReply);
    });
    cr_assert_not(reply.has_value(), "answered before Call returned");
    cr_assert(loop_.RunUntil([&] { return reply.has_value(); }, kTimeout));
    return *reply;
  }
};

void
EchoLookups(WebSocketPeerNetwork& aNetwork)
{
  aNetwork.OnMessage<Lookup>([](const PeerIdentity& aFrom,
                                const Message& aMessage,
                                const PeerNetwork::Responder& aRespond) {
    LookupAnswer answer;
    answer.error_ = aFrom.instance_.Value() + ":" +
                    std::get<Lookup>(aMessage).request_.Value();
    aRespond(answer);
  });
}

std::string
ErrorOf(const PeerReply& aReply)
{
  return aReply.message_.has_value()
           ? std::get<LookupAnswer>(*aReply.message_).error_
           : aReply.error_;
}

} // namespace

Test(PeerNetwork, CallsAreAnsweredOnOneConnection)
{
  Fixture fixture;
  auto& one = fixture.Add("one");
  auto& two = fixture.Add("two");
  EchoLookups(two);
  for (int round = 0; round < 5; ++round) {
    const auto reply =
      fixture.Call(one, two.Self(), Lookup{ RequestId(std::to_string(round)) });
    cr_assert_eq(ErrorOf(reply), "one:" + std::to_string(round));
  }
  cr_assert_eq(one.Statistics().openedConnections_, 1);
  cr_assert_eq(one.Statistics().traffic_.framesSent_, 6);
  cr_assert_gt(one.Statistics().traffic_.bytesReceived_, 0);
}

// Guards against replies that are delivered to the wrong call.
Test(PeerNetwork, SixInstancesEachGetTheirOwnReplies)
{
  Fixture fixture;
  for (int i = 0; i < 6; ++i) {
    EchoLookups(fixture.Add("peer-" + std::to_string(i)));
  }
  int replies = 0;
  for (auto& from : fixture.networks_) {
    for (auto& to : fixture.networks_) {
      for (int i = 0; i < 20; ++i) {
        const std::string id = to->Self().instance_.Value() +
                               std::string(std::size_t(i) * 5000, 'x');
        from->Call(to->Self(),
                   Lookup{ RequestId(id) },
                   kTimeout,
                   [&replies,
                    expected = from->Self().instance_.Value() + ":" +
                               id](const PeerReply& aReply) {
                     cr_assert_eq(ErrorOf(aReply), expected);
                     ++replies;
                   });
      }
    }
  }
  cr_assert(
    fixture.loop_.RunUntil([&] { return replies == 6 * 6 * 20; }, kTimeout));
}

// Guards against messages that are delivered to another instance at a reused
// address, or to another incarnation of the instance.
Test(PeerNetwork, OtherIdentitiesAreRefusedAndReported)
{
  Fixture fixture;
  auto& one = fixture.Add("one");
  auto& two = fixture.Add("two");
  int handled = 0;
  two.OnMessage<Lookup>(
    [&](const auto&, const auto&, const auto&) { ++handled; });
  std::vector<Incarnation> actual;
  one.OnIdentityMismatch([&](const PeerIdentity&, const PeerIdentity& aActual) {
    actual.push_back(aActual.incarnation_);
  });
  PeerIdentity other = two.Self();
  other.instance_ = InstanceId("three");
  cr_assert_eq(ErrorOf(fixture.Call(one, other, Lookup{})),
               std::string("identity mismatch"));
  for (const std::uint64_t incarnation : { 4, 6 }) {
    PeerIdentity stale = two.Self();
    stale.incarnation_ = Incarnation(incarnation);
    cr_assert_eq(ErrorOf(fixture.Call(one, stale, Lookup{})),
                 std::string("identity mismatch"));
  }
  cr_assert_eq(actual.size(), 3);
  cr_assert_eq(actual.back(), Incarnation(5));
  cr_assert_eq(handled, 0);
  EchoLookups(two);
  PeerIdentity any = two.Self();
  any.incarnation_ = Incarnation(0);
  cr_assert_eq(ErrorOf(fixture.Call(one, any, Lookup{ RequestId("x") })),
               std::string("one:x"));
  // A refutation changes the incarnation without a new connection.
  two.SetIncarnation(Incarnation(6));
  cr_assert_eq(ErrorOf(fixture.Call(one, two.Self(), Lookup{ RequestId("y") })),
               std::string("one:y"));
}

// Guards against calls that wait for their timeout after the connection has
// failed.
Test(PeerNetwork, CallsFailWhenTheConnectionBreaks)
{
  Fixture fixture;
  auto& one = fixture.Add("one");
  auto& two = fixture.Add("two");
  const PeerIdentity to = two.Self();
  bool isReceived = false;
  two.OnMessage<Lookup>(
    [&](const auto&, const auto&, const auto&) { isReceived = true; });
  std::optional<PeerReply> reply;
  one.Call(to, Lookup{}, std::chrono::hours(1), [&](PeerReply aReply) {
    reply = std::move(aReply);
  });
  cr_assert(fixture.loop_.RunUntil([&] { return isReceived; }, kTimeout));
  fixture.networks_.pop_back();
  cr_assert(
    fixture.loop_.RunUntil([&] { return reply.has_value(); }, kTimeout));
  cr_assert_eq(ErrorOf(*reply), std::string("connection broken"));
  cr_assert_eq(ErrorOf(fixture.Call(one, to, Lookup{})),
               std::string("not connected"));
}

// Guards against reusing a connection that no longer responds.
Test(PeerNetwork, TimeoutMakesTheNextCallUseANewConnection)
{
  Fixture fixture;
  auto& one = fixture.Add("one");
  auto& two = fixture.Add("two");
  two.OnMessage<Lookup>([](const auto&, const auto&, const auto&) {});
  cr_assert_eq(ErrorOf(fixture.Call(one,
                                    two.Self(),
                                    Lookup{ RequestId("a") },
                                    std::chrono::milliseconds(200))),
               std::string("timeout"));
  EchoLookups(two);
  cr_assert_eq(ErrorOf(fixture.Call(one, two.Self(), Lookup{ RequestId("b") })),
               std::string("one:b"));
  cr_assert_eq(one.Statistics().openedConnections_, 2);
}

Test(PeerNetwork, StreamsDeliverEachPartAndEndWithAnError)
{
  Fixture fixture;
  auto& one = fixture.Add("one");
  auto& two = fixture.Add("two");
  two.OnMessage<Follow>(
    [](const auto&, const auto&, const PeerNetwork::Responder& aRespond) {
      for (std::uint64_t index = 0; index < 3; ++index) {
        AnswerPart part;
        part.index_ = PartIndex(index);
        aRespond(part);
      }
    });
  std::uint64_t parts = 0;
  std::string error;
  one.OpenStream(two.Self(),
                 Follow{},
                 std::chrono::milliseconds(300),
                 [&](const PeerReply& aReply) {
                   if (aReply.message_.has_value()) {
                     const auto& part = std::get<AnswerPart>(*aReply.message_);
                     cr_assert_eq(part.index_, PartIndex(parts));
                     ++parts;
                   } else {
                     error = aReply.error_;
                   }
                 });
  cr_assert(fixture.loop_.RunUntil([&] { return !error.empty(); }, kTimeout));
  cr_assert_eq(parts, 3);
  cr_assert_eq(error, std::string("timeout"));
}

Test(PeerNetwork, ProbesUseANewConnection)
{
  Fixture fixture;
  auto& one = fixture.Add("one");
  auto& two = fixture.Add("two");
  PeerIdentity dead = two.Self();
  dead.instance_ = InstanceId("dead");
  for (const auto& [to, expected] :
       { std::make_pair(two.Self(), true), std::make_pair(dead, false) }) {
    std::optional<bool> isAlive;
    one.ProbeOnNewConnection(
      to, kTimeout, [&](bool aIsAlive) { isAlive = aIsAlive; });
    cr_assert(
      fixture.loop_.RunUntil([&] { return isAlive.has_value(); }, kTimeout));
    cr_assert_eq(*isAlive, expected);
  }
  cr_assert_eq(one.Statistics().openedConnections_, 2);
}

// Guards against connections to unused or unresponsive peers that are never
// closed.
Test(PeerNetwork, IdleConnectionsAreClosed)
{
  ManualClock clock;
  EventLoop loop(clock);
  WebSocketPeerNetwork one(loop, {}, IdentityOf("one", 1));
  WebSocketPeerNetwork two(loop, {}, IdentityOf("two", 1));
  EchoLookups(two);
  const auto call = [&] {
    std::optional<PeerReply> reply;
    one.Call(two.Self(),
             Lookup{ RequestId("x") },
             kTimeout,
             [&](PeerReply aReply) { reply = std::move(aReply); });
    cr_assert(loop.RunUntil([&] { return reply.has_value(); }, kTimeout));
    cr_assert_eq(ErrorOf(*reply), std::string("one:x"));
  };
  call();
  for (int second = 0; second < 64; ++second) {
    const PeerNetworkStatistics before = one.Statistics();
    clock.Advance(std::chrono::seconds(1));
    loop.RunReady();
    // Waits for the reply to a ping before the clock is advanced again.
    if (one.Statistics().traffic_.bytesSent_ > before.traffic_.bytesSent_) {
      loop.RunUntil(
        [&] {
          return one.Statistics().traffic_.bytesReceived_ >
                 before.traffic_.bytesReceived_;
        },
        kTimeout);
    }
    if (second == 50) {
      cr_assert_eq(one.Statistics().openedConnections_, 1);
    }
  }
  call();
  cr_assert_eq(one.Statistics().openedConnections_, 2);
}
