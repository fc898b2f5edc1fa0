// Callers with HTTP/1.0 read the beginning of their answer, pause for two
// seconds and read the rest. With TROUBLE=0 they read on at once.

#include "World.h"

#include "peer/SocketAddress.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace review;

constexpr int kCallers = 40;
constexpr int kDeadlineMs = 15000;
// Answers have 100 to 1,075 KB.
constexpr std::size_t kAnswerBytes = 100 * 1024;
constexpr std::size_t kAnswerStep = 25 * 1024;
// A caller reads this much, and then nothing for this time.
constexpr std::size_t kFirstBytes = 4 * 1024;
constexpr Duration kPause = std::chrono::milliseconds(2000);
constexpr std::size_t kStepBytes = 8192;
constexpr Duration kStep = std::chrono::milliseconds(4);

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
        // The answer comes in chunks, so it has no length.
        aExchange->Start(std::move(head), { http::BodyEnd::Chunked, 0 });
        aExchange->Send(std::string(size, 'x'));
        aExchange->Finish();
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
  SlowCaller(World& aWorld,
             const Address& aEdge,
             std::string aId,
             std::size_t aBytes)
    : id_(std::move(aId))
    , expected_(aBytes)
    , sentAt_(aWorld.Now())
    , world_(aWorld)
  {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int segment = 1400;
    const int window = 64 * 1024;
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
      "GET /read/" + std::to_string(aBytes) +
      " HTTP/1.0\r\nHost: office.example\r\n"
      "X-Request-Id: " +
      id_ + "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
      "\r\nApi-Key: key-one\r\n\r\n";
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

  std::string id_;
  std::size_t expected_;
  // What arrived, head and body.
  std::string text_;
  double sentAt_ = 0;
  double endedAt_ = 0;
  bool isDone_ = false;
  // Whether the channel was closed and not reset.
  bool isEndInOrder_ = false;

  bool IsWhole() const
  {
    const std::size_t head = text_.find("\r\n\r\n");
    return text_.rfind("HTTP/1.1 200", 0) == 0 && head != std::string::npos &&
           text_.size() - head - 4 == expected_;
  }

private:
  void Step()
  {
    char block[kStepBytes];
    const ssize_t count = read(socket_, block, sizeof block);
    if (count > 0) {
      text_.append(block, std::size_t(count));
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      isDone_ = true;
      isEndInOrder_ = count == 0;
      endedAt_ = world_.Now();
      return;
    }
    const bool isPause =
      !IsCalm() && !hasPaused_ && text_.size() >= kFirstBytes;
    hasPaused_ = hasPaused_ || isPause;
    const Duration wait = isPause ? kPause : kStep;
    timer_ = world_.loop_.CallAfter(wait, [this] { Step(); });
  }

  World& world_;
  bool hasPaused_ = false;
  int socket_ = -1;
  EventLoop::TimerId timer_ = 0;
};

int
Play(World& aWorld)
{
  Desk first(aWorld, "desk-0");
  Desk second(aWorld, "desk-1");
  aWorld.PutManifest(
    nlohmann::json::array({ World::Route(
      "/read/", "non_idempotent", "desk", 1, false, 15000, 10000) }),
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
  std::vector<std::unique_ptr<SlowCaller>> callers;
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(std::make_unique<SlowCaller>(
      aWorld,
      edge.callers_,
      "read-" + std::to_string(number),
      kAnswerBytes + std::size_t(number) * kAnswerStep));
    aWorld.RunFor(0.05);
  }
  aWorld.RunFor(kDeadlineMs / 1000.0);
  int whole = 0;
  int lost = 0;
  for (const auto& caller : callers) {
    const Run* run = nullptr;
    for (const Desk* desk : { &first, &second }) {
      const auto found = desk->runs_.find(caller->id_);
      run = found == desk->runs_.end() ? run : &found->second;
    }
    const bool isSuccess =
      caller->text_.rfind("HTTP/1.1 200", 0) == 0 && caller->isEndInOrder_ &&
      caller->text_.find("Content-Length") == std::string::npos;
    const bool isWrong = isSuccess && !caller->IsWhole();
    whole += caller->IsWhole();
    lost += isWrong;
    char text[200];
    std::snprintf(
      text,
      sizeof text,
      "%s sent %.3f, answered by the desk %.3f; the caller has read "
      "%zu bytes of %zu after %.3f s, the channel %s%s",
      caller->id_.c_str(),
      caller->sentAt_,
      run == nullptr ? 0 : run->answeredAt_,
      caller->text_.size(),
      caller->expected_,
      caller->endedAt_ - caller->sentAt_,
      !caller->isDone_        ? "is open"
      : caller->isEndInOrder_ ? "was closed"
                              : "was reset",
      isWrong ? ", LOOKS COMPLETE" : "");
    aWorld.Record(text);
  }
  int status = 0;
  if (edge.HasEnded(status)) {
    return aWorld.Finish(kBroken, "the edge ended");
  }
  const std::string summary = std::to_string(callers.size()) + " requests, " +
                              std::to_string(whole) + " answered whole; " +
                              std::to_string(lost) +
                              " answers ended early and look complete";
  if (whole + lost == 0) {
    return aWorld.Finish(kNotRun, "nothing was served: " + summary);
  }
  return aWorld.Finish(lost > 0 ? kBroken : kHeld, summary);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunScene(Play, aCount, aArguments);
}
