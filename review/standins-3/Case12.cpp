// Callers on slower links read large answers, while other callers send requests
// that may run once. With TROUBLE=0 all callers read at full speed.

#include "World.h"

#include "peer/SocketAddress.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace review;

constexpr double kSceneSeconds = 60;
constexpr double kReadInterval = 0.05;
constexpr double kIssueInterval = 0.05;
constexpr int kIssueDeadlineMs = 1500;
constexpr int kReadDeadlineMs = 8000;
// A slow caller takes this many bytes in each step: 16 Mbit/s.
constexpr std::size_t kStepBytes = 8192;
constexpr Duration kStep = std::chrono::milliseconds(4);
// The page's LOST tolerates three.
constexpr int kTolerated = 3;

struct Run
{
  double beganAt_ = 0;
  double answeredAt_ = 0;
};

// A records service whose answers are complete, at once and in order.
class Desk
{
public:
  Desk(World& aWorld, std::string aId)
    : world_(aWorld)
    , id_(std::move(aId))
    , server_(aWorld.loop_,
              { "127.0.0.1", 0 },
              [this](const std::shared_ptr<http::CallerExchange>& aExchange) {
                Handle(aExchange);
              })
  {
  }

  Address BoundAddress() const { return server_.BoundAddress(); }

  std::map<std::string, Run> runs_;

private:
  void Handle(const std::shared_ptr<http::CallerExchange>& aExchange)
  {
    if (Field(*aExchange, "X-Expect-Instance") != id_) {
      http::ResponseHead head;
      head.status_ = 421;
      head.reason_ = "Misdirected Request";
      head.fields_ = { { "X-Instance-Id", id_ } };
      aExchange->Answer(std::move(head), "");
      return;
    }
    const std::string request = Field(*aExchange, "X-Request-Id");
    runs_[request].beganAt_ = world_.Now();
    world_.loop_.CallAfter(
      std::chrono::milliseconds(30), [this, aExchange, request] {
        const std::string& target = aExchange->head_.target_;
        std::size_t size = 800;
        if (target.rfind("/read/", 0) == 0) {
          size = std::stoul(target.substr(6));
        }
        http::ResponseHead head;
        head.status_ = 200;
        head.reason_ = "OK";
        head.fields_ = { { "X-Request-Id", request },
                         { "X-Response-Signature", "sig-" + request },
                         { "Keep-Alive", "timeout=15" } };
        aExchange->Answer(std::move(head), std::string(size, 'x'));
        runs_[request].answeredAt_ = world_.Now();
      });
  }

  World& world_;
  std::string id_;
  http::CallerServer server_;
};

// A caller behind a slower link: small segments, a small window, and a bounded
// rate of reading.
class SlowCaller
{
public:
  SlowCaller(World& aWorld, const Address& aEdge, std::string aId, int aSize)
    : world_(aWorld)
    , id_(std::move(aId))
  {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int segment = 1400;
    const int window = 16 * 1024;
    setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    sockaddr_storage storage{};
    const socklen_t length = FillSocketAddress(aEdge, storage);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&storage), length) != 0) {
      isDone_ = true;
      return;
    }
    fcntl(socket_, F_SETFL, O_NONBLOCK);
    const std::string head =
      "GET /read/" + std::to_string(aSize) +
      " HTTP/1.1\r\nHost: office.example\r\n"
      "X-Request-Id: " +
      id_ + "\r\nX-Deadline-Ms: " + std::to_string(kReadDeadlineMs) +
      "\r\nApi-Key: key-one\r\n"
      "Connection: close\r\n\r\n";
    (void)!write(socket_, head.data(), head.size());
    Step();
  }
  ~SlowCaller()
  {
    world_.loop_.CancelTimer(timer_);
    if (socket_ >= 0) {
      close(socket_);
    }
  }

  std::size_t bytes_ = 0;
  bool isDone_ = false;

private:
  void Step()
  {
    char block[kStepBytes];
    const ssize_t count = read(socket_, block, sizeof block);
    if (count > 0) {
      bytes_ += std::size_t(count);
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      isDone_ = true;
      close(socket_);
      socket_ = -1;
      return;
    }
    timer_ = world_.loop_.CallAfter(kStep, [this] { Step(); });
  }

  World& world_;
  std::string id_;
  int socket_ = -1;
  EventLoop::TimerId timer_ = 0;
};

int
Play(World& aWorld)
{
  const bool isCalm = IsCalm();
  Desk first(aWorld, "desk-0");
  Desk second(aWorld, "desk-1");
  aWorld.PutManifest(
    nlohmann::json::array(
      { World::Route("/issue/", "non_idempotent", "desk", 1, false, 1500, 150),
        World::Route("/read/", "idempotent", "desk", 1, false, 8000, 4000) }),
    nlohmann::json::array(
      { { { "name", "desk" }, { "max-connections", 96 } } }));
  aWorld.ListEngine(
    "desk-0", "desk", first.BoundAddress(), "forth-a", "ready", 6);
  aWorld.ListEngine(
    "desk-1", "desk", second.BoundAddress(), "forth-b", "ready", 6);
  EdgeProcess& edge = aWorld.AddEdge();
  if (!aWorld.WaitReady(15)) {
    return aWorld.Finish(kNotRun, "the edge was not ready within 15 s");
  }
  aWorld.RunFor(3);
  aWorld.Record(isCalm ? "all callers read at full speed"
                       : "callers of /read/ read 16 Mbit/s");
  std::mt19937 random(11);
  std::uniform_int_distribution<int> sizes(400 * 1024, 700 * 1024);
  std::vector<std::unique_ptr<SlowCaller>> slow;
  std::vector<std::shared_ptr<Ask>> reads;
  std::vector<std::shared_ptr<Ask>> issues;
  std::shared_ptr<http::BackendChannel> kept;
  const double start = aWorld.Now();
  double nextRead = start;
  double nextIssue = start;
  int count = 0;
  while (aWorld.Now() - start < kSceneSeconds) {
    const double now = aWorld.Now();
    if (now >= nextRead) {
      nextRead += kReadInterval;
      const std::string id = "read-" + std::to_string(count++);
      const int size = sizes(random);
      if (isCalm) {
        AskOptions options;
        options.method_ = "GET";
        options.path_ = "/read/" + std::to_string(size);
        options.id_ = id;
        options.deadlineMs_ = kReadDeadlineMs;
        reads.push_back(aWorld.Send(edge.callers_, options));
      } else {
        slow.push_back(
          std::make_unique<SlowCaller>(aWorld, edge.callers_, id, size));
      }
    }
    if (now >= nextIssue) {
      nextIssue += kIssueInterval;
      AskOptions options;
      options.path_ = "/issue/a";
      options.id_ = "issue-" + std::to_string(issues.size());
      options.body_ = "certificate " + options.id_;
      options.deadlineMs_ = kIssueDeadlineMs;
      issues.push_back(aWorld.Send(edge.callers_, options));
    }
    aWorld.RunFor(0.002);
  }
  aWorld.RunFor(3);
  int answered = 0;
  int unanswered = 0;
  for (const auto& ask : issues) {
    const Run* run = nullptr;
    for (const Desk* desk : { &first, &second }) {
      const auto found = desk->runs_.find(ask->id_);
      run = found == desk->runs_.end() ? run : &found->second;
    }
    const bool isServed = ask->status_ == 200 && ask->isWhole_ &&
                          ask->signature_ == "sig-" + ask->id_;
    const bool isReady =
      run != nullptr && run->answeredAt_ > 0 &&
      run->answeredAt_ - ask->sentAt_ < 0.5 * kIssueDeadlineMs / 1000.0;
    answered += isServed;
    char text[200];
    std::snprintf(text,
                  sizeof text,
                  "%s sent %.3f run %.3f answered by the desk %.3f; the caller "
                  "gets %d at %.3f%s",
                  ask->id_.c_str(),
                  ask->sentAt_,
                  run == nullptr ? 0 : run->beganAt_,
                  run == nullptr ? 0 : run->answeredAt_,
                  ask->status_,
                  ask->endedAt_,
                  isReady && !isServed ? "  RAN, ANSWER READY, NOT DELIVERED"
                                       : "");
    aWorld.Record(text);
    unanswered += isReady && !isServed;
  }
  int status = 0;
  if (edge.HasEnded(status)) {
    return aWorld.Finish(kNotRun, "the edge ended");
  }
  const std::string summary =
    std::to_string(issues.size()) + " requests, " + std::to_string(answered) +
    " answered; " + std::to_string(unanswered) +
    " had run, and the desk's whole answer was at the edge in time, but the "
    "caller got none";
  if (answered < int(issues.size()) / 2) {
    return aWorld.Finish(kNotRun, "too few were served: " + summary);
  }
  return aWorld.Finish(unanswered > kTolerated ? kBroken : kHeld, summary);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunScene(Play, aCount, aArguments);
}
