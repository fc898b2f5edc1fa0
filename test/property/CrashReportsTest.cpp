// Crashes that single instances see, known to 3 to 60 entry instances.

#include "edge/CrashReports.h"
#include "edge/ReportExchange.h"
#include "peer/MessageCodec.h"
#include "runtime/EventLoop.h"
#include "support/FakePeerNetwork.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

// Time within which the platform expects all instances to know.
constexpr double kContactSeconds = 3;
const Fingerprint kCrashing(0xdead);
const Fingerprint kShared(0x5a);

struct Instance
{
  Instance(EventLoop& aLoop,
           DecisionLog& aLog,
           EdgeMetrics& aMetrics,
           FakePeerHub& aHub,
           const PeerIdentity& aSelf)
    : state_(aLoop, WireCodec{}, SystemBounds{}, aLog, aMetrics, 1)
    , network_(aHub, aSelf)
  {
    state_.self_ = aSelf.instance_;
    reports_ = std::make_unique<ReportExchange>(state_, network_, aSelf, [] {
      return SelfStatus{ true, false, {} };
    });
    state_.reportCrashes_ = [this] { reports_->ReportCrashes(); };
  }

  bool IsRefused(Fingerprint aFingerprint)
  {
    TryRules rules;
    rules.mayTry_ = [](Fingerprint) { return false; };
    rules.mayTest_ = [](Fingerprint, Duration, std::size_t) { return false; };
    return BlockedFor(state_.crashes_.record_,
                      { aFingerprint },
                      rules,
                      state_.loop_.GetClock().Now())
      .has_value();
  }

  EdgeState state_;
  FakePeerNetwork network_;
  std::unique_ptr<ReportExchange> reports_;
};

class Fleet
{
public:
  explicit Fleet(std::size_t aCount)
  {
    clock_.Advance(std::chrono::hours(1));
    for (std::size_t index = 0; index < aCount; ++index) {
      PeerIdentity identity;
      identity.instance_ = InstanceId("i" + std::to_string(index));
      identity.incarnation_ = Incarnation(1);
      identity.strength_ = 500 - index;
      members_.push_back(identity);
      instances_.push_back(nullptr);
    }
    for (std::size_t index = 0; index < aCount; ++index) {
      Start(index);
    }
    Run(6);
  }

  void Start(std::size_t aIndex)
  {
    instances_[aIndex] = nullptr;
    instances_[aIndex] =
      std::make_unique<Instance>(loop_, log_, metrics_, hub_, members_[aIndex]);
    instances_[aIndex]->reports_->SetMembers(members_);
  }

  void Run(double aSeconds)
  {
    for (double passed = 0; passed < aSeconds; passed += 0.01) {
      clock_.Advance(std::chrono::milliseconds(10));
      for (int round = 0; round < 3; ++round) {
        loop_.RunReady();
      }
    }
  }

  // aInstance sees a crash under requests that were sent a moment ago.
  void Crash(std::size_t aInstance,
             int aServer,
             const std::vector<Fingerprint>& aFingerprints)
  {
    edge::Crash crash;
    crash.server_ = ServerId("server-" + std::to_string(aServer));
    crash.at_ = clock_.Now();
    for (const Fingerprint& fingerprint : aFingerprints) {
      crash.sent_[fingerprint] = clock_.Now() - std::chrono::milliseconds(90);
    }
    AddCrash(
      instances_[aInstance]->state_.crashes_.record_, crash, clock_.Now());
    instances_[aInstance]->reports_->ReportCrashes();
  }

  void Answer(std::size_t aInstance, Fingerprint aFingerprint)
  {
    instances_[aInstance]->state_.crashes_.RecordAnswer({ aFingerprint });
  }

  // A request comes to aInstance, which sends it to a server unless it refuses
  // it. Returns whether it was sent.
  bool Send(std::size_t aInstance,
            const std::vector<Fingerprint>& aFingerprints)
  {
    EdgeState& state = instances_[aInstance]->state_;
    if (BlockedFor(state, aFingerprints).has_value()) {
      return false;
    }
    RecordTry(state.crashes_.record_, aFingerprints, clock_.Now());
    return true;
  }

  Block BlockAt(std::size_t aInstance, Fingerprint aFingerprint)
  {
    return instances_[aInstance]->state_.crashes_.record_.blocks_[aFingerprint];
  }

  // A block that was decided aDecided seconds ago, after a crash aCrash seconds
  // ago.
  Block MakeBlock(double aCrash, double aDecided) const
  {
    const auto before = [this](double aSeconds) {
      return clock_.Now() - Duration(Duration::rep(aSeconds * 1e6));
    };
    const Duration length = std::chrono::minutes(2);
    return { before(aDecided) + length, length, before(aCrash) };
  }

  void AddBlockAt(std::size_t aInstance,
                  Fingerprint aFingerprint,
                  const Block& aBlock)
  {
    AddBlock(
      instances_[aInstance]->state_.crashes_.record_, aFingerprint, aBlock);
  }

  std::size_t CountRefusing(Fingerprint aFingerprint)
  {
    std::size_t count = 0;
    for (const auto& instance : instances_) {
      count += instance->IsRefused(aFingerprint) ? 1 : 0;
    }
    return count;
  }

  // Runs for aSeconds and returns the bytes that arrive at an instance each
  // second. aStep is called every 20 ms.
  double BytesPerSecond(double aSeconds, const std::function<void()>& aStep)
  {
    std::uint64_t bytes = 0;
    hub_.onArrival_ = [&bytes](const Message& aMessage) {
      bytes += EncodeMessage(aMessage, 1).size();
    };
    for (double passed = 0; passed < aSeconds; passed += 0.02) {
      aStep();
      Run(0.02);
    }
    hub_.onArrival_ = nullptr;
    return double(bytes) / aSeconds / double(members_.size());
  }

  std::vector<PeerIdentity> members_;

private:
  ManualClock clock_;
  EventLoop loop_{ clock_ };
  DecisionLogOptions logOptions_{ -1 };
  DecisionLog log_{ loop_, logOptions_ };
  EdgeMetrics metrics_;
  FakePeerHub hub_{ loop_ };
  std::vector<std::unique_ptr<Instance>> instances_;
};

} // namespace

// Guards against instances that learn too late of crashes seen elsewhere. Each
// crash is seen by another instance.
Test(CrashReports, AllInstancesKnowInTime)
{
  for (const std::size_t count : { 3, 12, 60 }) {
    for (const std::uint64_t seed : { 1, 2, 3 }) {
      std::mt19937_64 random(seed);
      Fleet fleet(count);
      for (int server = 0; server < 3; ++server) {
        fleet.Crash(random() % count, server, { kCrashing, kShared });
        fleet.Run(0.3);
        fleet.Answer(random() % count, kShared);
        fleet.Run(0.2);
      }
      fleet.Run(kContactSeconds - 0.5);
      cr_expect_eq(fleet.CountRefusing(kCrashing), count, "%zu", count);
      cr_expect_eq(fleet.CountRefusing(kShared), 0, "%zu", count);
      // An instance that has just started learns it before callers reach it.
      fleet.members_[1].incarnation_ = Incarnation(2);
      fleet.Start(1);
      fleet.Run(kContactSeconds);
      cr_expect_eq(fleet.CountRefusing(kCrashing), count, "%zu", count);
    }
  }
}

// Guards against instances that tell each other of a block that one of them has
// lifted.
Test(CrashReports, AnAnswerLiftsABlockOnAllInstances)
{
  for (const std::size_t count : { 3, 12, 60 }) {
    Fleet fleet(count);
    for (int server = 0; server < 3; ++server) {
      fleet.Crash(std::size_t(server), server, { kCrashing });
      fleet.Run(0.5);
    }
    fleet.Run(2 * kContactSeconds);
    cr_assert_eq(fleet.CountRefusing(kCrashing), count, "%zu", count);
    fleet.Answer(1, kCrashing);
    fleet.Run(2 * kContactSeconds);
    cr_expect_eq(fleet.CountRefusing(kCrashing), 0, "%zu", count);
  }
}

// Guards against a block that has been lifted and is in force again at an
// instance that starts later and reads it from the store.
Test(CrashReports, AnInstanceThatReadsALiftedBlockLearnsOfTheAnswer)
{
  for (const std::size_t count : { 3, 12, 60 }) {
    Fleet fleet(count);
    for (int server = 0; server < 3; ++server) {
      fleet.Crash(std::size_t(server), server, { kCrashing });
      fleet.Run(0.5);
    }
    fleet.Run(2 * kContactSeconds);
    const Block block = fleet.BlockAt(0, kCrashing);
    fleet.Answer(1, kCrashing);
    fleet.Run(4 * kContactSeconds);
    fleet.members_[2].incarnation_ = Incarnation(2);
    fleet.Start(2);
    fleet.AddBlockAt(2, kCrashing, block);
    cr_assert_eq(fleet.CountRefusing(kCrashing), 1, "%zu", count);
    fleet.Run(2 * kContactSeconds);
    cr_expect_eq(fleet.CountRefusing(kCrashing), 0, "%zu", count);
  }
}

// Guards against a block that is decided before an answer is known that came
// after the crashes, and that the instances then tell each other again and
// again.
Test(CrashReports, AnAnswerLiftsABlockThatWasDecidedAfterIt)
{
  for (const std::size_t count : { 3, 12, 60 }) {
    Fleet fleet(count);
    for (int server = 0; server < 3; ++server) {
      fleet.Crash(std::size_t(server), server, { kCrashing });
      fleet.Run(0.5);
    }
    fleet.Answer(1, kCrashing);
    // The decision of an instance that has not been told of the answer.
    fleet.Run(kContactSeconds);
    fleet.AddBlockAt(
      2,
      kCrashing,
      fleet.MakeBlock(kContactSeconds + 0.5, kContactSeconds - 2));
    fleet.Run(2 * kContactSeconds);
    cr_expect_eq(fleet.CountRefusing(kCrashing), 0, "%zu", count);
  }
}

// Guards against blocks because of servers that crash in series for another
// reason, beside a part that many requests have.
Test(CrashReports, CrashesInSeriesBlockNothingThatIsAnsweredElsewhere)
{
  for (const std::size_t count : { 3, 12, 60 }) {
    std::mt19937_64 random(4);
    Fleet fleet(count);
    for (int server = 0; server < 12; ++server) {
      fleet.Crash(random() % count,
                  server,
                  { kShared, Fingerprint(std::uint64_t(1000 + server)) });
      fleet.Run(0.1);
      fleet.Answer(random() % count, kShared);
      fleet.Run(0.7);
    }
    fleet.Run(kContactSeconds);
    cr_expect_eq(fleet.CountRefusing(kShared), 0, "%zu", count);
  }
}

// Guards against news of crashes that take the processor time and the network
// of small instances while many servers end at once. The bound is the budget of
// an instance for all control traffic.
Test(CrashReports, CrashesOfManyServersCostLittle)
{
  constexpr double kControlBytesPerSecond = 9000;
  constexpr double kSeconds = 4;
  // All engines of a deployment of 60 instances and 140 engines.
  constexpr double kServersPerInstance = 140.0 / 60;
  for (const std::size_t count : { 14, 60, 400 }) {
    std::mt19937_64 random(7);
    Fleet fleet(count);
    const double calm = fleet.BytesPerSecond(kSeconds, [] {});
    std::uint64_t unique = 1000;
    int server = 0;
    double due = 0;
    const double inTrouble = fleet.BytesPerSecond(kSeconds, [&] {
      // Each server runs requests of several instances, which share some parts
      // of their prompts.
      for (due += kServersPerInstance * double(count) * 0.02 / kSeconds;
           due >= 1;
           --due) {
        ++server;
        for (int seen = 0; seen < 6; ++seen) {
          std::vector<Fingerprint> sent;
          for (int request = 0; request < 2; ++request) {
            sent.emplace_back(1 + random() % 40);
            sent.emplace_back(++unique);
            sent.emplace_back(++unique);
          }
          fleet.Crash(random() % count, server, sent);
        }
      }
      for (int answer = 0; answer < 6; ++answer) {
        fleet.Answer(random() % count, Fingerprint(1 + random() % 40));
      }
    });
    cr_expect_leq(inTrouble - calm,
                  kControlBytesPerSecond,
                  "%zu instances: %.0f bytes a second, %.0f in calm",
                  count,
                  inTrouble,
                  calm);
  }
}

namespace {

// Stand for a part, and for the fingerprint of a request, that are different in
// each request.
const Fingerprint kOwn(0);
const Fingerprint kOwnRequest(std::uint64_t(1) << 63);

// Requests that come to a fleet: sound ones of some kinds, and deadly ones.
struct Traffic
{
  const char* name_;
  std::vector<std::vector<Fingerprint>> sound_;
  std::vector<std::vector<Fingerprint>> deadly_;
};

struct TrafficResult
{
  int crashes_ = 0;
  // Deadly requests of one kind that were sent later than kContactSeconds after
  // the fifth crash by that kind, for the kind with the most of them.
  int deadlySent_ = 0;
  // Sound requests from twice that time after the fifth crash on, or after the
  // last one if there were fewer, and those of them that were sent.
  int sound_ = 0;
  int soundSent_ = 0;
};

constexpr double kSoundPerSecond = 1;
constexpr double kDeadlyPerSecond = 8;
constexpr double kTrafficSeconds = 36;
constexpr std::size_t kCrashesUntilKnown = 5;

// Plays traffic at random instances of a fleet. Servers crash 40 ms after they
// begin a deadly request, and answer a sound one after 0.3 to 2 s.
class TrafficPlay
{
public:
  TrafficPlay(std::size_t aCount, std::uint64_t aSeed, const Traffic& aTraffic)
    : fleet_(aCount)
    , traffic_(aTraffic)
    , random_(aSeed)
    , crashes_(aTraffic.deadly_.size())
    , deadly_(aTraffic.deadly_.size())
  {
  }

  TrafficResult Play()
  {
    constexpr double kStep = 0.01;
    for (double passed = 0; passed < kTrafficSeconds; passed += kStep) {
      now_ = passed;
      for (const auto& kind : traffic_.sound_) {
        if (Draw() < kStep * kSoundPerSecond) {
          SendSound(kind);
        }
      }
      for (std::size_t kind = 0; kind < traffic_.deadly_.size(); ++kind) {
        if (Draw() < kStep * kDeadlyPerSecond) {
          SendDeadly(kind);
        }
      }
      fleet_.Run(kStep);
      EndRequests();
    }
    return Count();
  }

private:
  struct Sent
  {
    std::size_t instance_ = 0;
    std::vector<Fingerprint> fingerprints_;
    double end_ = 0;
    std::optional<std::size_t> deadlyKind_;
  };

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

  std::vector<Fingerprint> MakeRequest(const std::vector<Fingerprint>& aKind)
  {
    std::vector<Fingerprint> fingerprints = aKind;
    for (Fingerprint& fingerprint : fingerprints) {
      if (fingerprint == kOwn || fingerprint == kOwnRequest) {
        fingerprint = Fingerprint(fingerprint.Value() | ++unique_);
      }
    }
    return fingerprints;
  }

  void SendSound(const std::vector<Fingerprint>& aKind)
  {
    Sent sent{ random_() % fleet_.members_.size(),
               MakeRequest(aKind),
               now_ + 0.3 + 1.7 * Draw(),
               std::nullopt };
    const bool isSent = fleet_.Send(sent.instance_, sent.fingerprints_);
    sound_.emplace_back(now_, isSent);
    if (isSent) {
      running_.push_back(std::move(sent));
    }
  }

  void SendDeadly(std::size_t aKind)
  {
    Sent sent{ random_() % fleet_.members_.size(),
               MakeRequest(traffic_.deadly_[aKind]),
               now_ + 0.04,
               aKind };
    if (fleet_.Send(sent.instance_, sent.fingerprints_)) {
      deadly_[aKind].push_back(now_);
      running_.push_back(std::move(sent));
    }
  }

  void EndRequests()
  {
    for (std::size_t index = 0; index < running_.size();) {
      const Sent sent = running_[index];
      if (sent.end_ > now_) {
        ++index;
        continue;
      }
      running_.erase(running_.begin() + std::ptrdiff_t(index));
      if (sent.deadlyKind_.has_value()) {
        fleet_.Crash(sent.instance_, ++servers_, sent.fingerprints_);
        crashes_[*sent.deadlyKind_].push_back(now_);
      } else {
        for (const Fingerprint& fingerprint : sent.fingerprints_) {
          fleet_.Answer(sent.instance_, fingerprint);
        }
      }
    }
  }

  TrafficResult Count() const
  {
    TrafficResult result;
    double known = 0;
    for (std::size_t kind = 0; kind < crashes_.size(); ++kind) {
      const auto& crashes = crashes_[kind];
      cr_assert_not(crashes.empty());
      result.crashes_ += int(crashes.size());
      const std::size_t counted =
        std::min<std::size_t>(crashes.size(), kCrashesUntilKnown);
      const double counts = crashes[counted - 1] + kContactSeconds;
      known = std::max(known, counts);
      const auto late = std::count_if(
        deadly_[kind].begin(), deadly_[kind].end(), [&](double aTime) {
          return counted == kCrashesUntilKnown && aTime > counts;
        });
      result.deadlySent_ = std::max(result.deadlySent_, int(late));
    }
    for (const auto& [time, isSent] : sound_) {
      if (time > known + kContactSeconds) {
        ++result.sound_;
        result.soundSent_ += isSent ? 1 : 0;
      }
    }
    return result;
  }

  Fleet fleet_;
  Traffic traffic_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::uint64_t unique_ = 1000;
  std::vector<Sent> running_;
  int servers_ = 0;
  // Times by kind of deadly requests.
  std::vector<std::vector<double>> crashes_;
  std::vector<std::vector<double>> deadly_;
  std::vector<std::pair<double, bool>> sound_;
};

const Fingerprint kDeadly(0xd1);
const Fingerprint kOtherDeadly(0xd2);
const Fingerprint kFirst(0x51);
const Fingerprint kSecond(0x52);
const Fingerprint kElsewhere(0x77);
const Fingerprint kDeadlyRequest(std::uint64_t(1) << 63 | 0xd3);

const std::vector<Traffic> kTraffics{
  { "first part shared",
    { { kFirst, kOwnRequest } },
    { { kFirst, kDeadly, kOwnRequest } } },
  { "two parts shared",
    { { kFirst, kSecond, kOwnRequest } },
    { { kFirst, kSecond, kDeadly, kOwnRequest } } },
  { "one or two parts shared",
    { { kFirst, kOwnRequest }, { kFirst, kSecond, kOwnRequest } },
    { { kFirst, kSecond, kDeadly, kOwnRequest } } },
  { "a later part shared",
    { { kFirst, kSecond, kOwnRequest } },
    { { kFirst, kDeadly, kSecond, kOwnRequest } } },
  { "two deadly parts",
    { { kFirst, kOwnRequest } },
    { { kFirst, kDeadly, kOwnRequest },
      { kFirst, kOtherDeadly, kOwnRequest } } },
  { "first part deadly",
    { { kElsewhere, kOwnRequest } },
    { { kDeadly, kOwnRequest } } },
  { "deadly part before different ones",
    { { kFirst, kOwnRequest } },
    { { kFirst, kDeadly, kOwn, kOwnRequest } } },
  { "one deadly request",
    { { kFirst, kOwnRequest } },
    { { kFirst, kDeadlyRequest } } },
  { "with other traffic",
    { { kFirst, kOwnRequest }, { kElsewhere, kOwnRequest } },
    { { kFirst, kDeadly, kOwnRequest } } }
};

} // namespace

// Guards against sound requests that are refused because they share parts of
// their prompts with deadly ones, whether or not these parts were ever answered
// before, and against deadly requests that are sent because of that.
Test(CrashReports, SoundRequestsThatSharePartsWithDeadlyOnesAreServed)
{
  // The platform allows three deadly requests, and counts sound ones as lost if
  // less than half of them are sent.
  constexpr int kAllowedDeadly = 3;
  for (const Traffic& traffic : kTraffics) {
    for (const std::size_t count : { 3, 12, 60 }) {
      TrafficResult total;
      for (const std::uint64_t seed : { 1, 2, 3, 11, 19 }) {
        const TrafficResult result = TrafficPlay(count, seed, traffic).Play();
        total.crashes_ += result.crashes_;
        total.sound_ += result.sound_;
        total.soundSent_ += result.soundSent_;
        cr_expect_leq(result.deadlySent_,
                      kAllowedDeadly,
                      "%s, %zu instances, seed %d: %d deadly requests sent",
                      traffic.name_,
                      count,
                      int(seed),
                      result.deadlySent_);
        cr_expect_geq(2 * result.soundSent_,
                      result.sound_,
                      "%s, %zu instances, seed %d: %d of %d sent",
                      traffic.name_,
                      count,
                      int(seed),
                      result.soundSent_,
                      result.sound_);
      }
      cr_log_info("%s, %zu instances: %d crashes, %d of %d sound requests sent",
                  traffic.name_,
                  count,
                  total.crashes_,
                  total.soundSent_,
                  total.sound_);
    }
  }
}
