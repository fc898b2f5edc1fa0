// Some clients send requests and do not read the answers, while ordinary
// callers send theirs. With TROUBLE=0 the same clients read their answers.

#include "World.h"

#include "base/DurationUnits.h"
#include "peer/SocketAddress.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace review;

constexpr double kSceneSeconds = 30;
constexpr double kIssueInterval = 0.05;
constexpr int kIssueDeadlineMs = 1500;
constexpr int kReadDeadlineMs = 8000;
// Clients that do not read, a tenth of the connections that the machine allows.
// Each one connects again after this time.
constexpr std::size_t kClients = 150;
constexpr double kClientSeconds = 2.5;
constexpr std::size_t kAnswerBytes = 600 * 1024;
// Starved: served less than a quarter as often as others.
constexpr double kStarvedShare = 0.25;

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

// A client that sends a request and reads nothing of the answer.
class SilentClient
{
public:
  SilentClient(World& aWorld, const Address& aEdge, const std::string& aId)
    : world_(aWorld)
    , openedAt_(aWorld.Now())
  {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int segment = 1400;
    const int window = 16 * 1024;
    setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    sockaddr_storage storage{};
    const socklen_t length = FillSocketAddress(aEdge, storage);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&storage), length) != 0) {
      return;
    }
    const std::string head =
      "GET /read/" + std::to_string(kAnswerBytes) +
      " HTTP/1.1\r\nHost: office.example\r\n"
      "X-Request-Id: " +
      aId + "\r\nX-Deadline-Ms: " + std::to_string(kReadDeadlineMs) +
      "\r\nApi-Key: key-two\r\n\r\n";
    (void)!write(socket_, head.data(), head.size());
  }
  ~SilentClient() { close(socket_); }
  SilentClient(const SilentClient&) = delete;
  SilentClient& operator=(const SilentClient&) = delete;

  bool IsOver() const { return world_.Now() - openedAt_ >= kClientSeconds; }

private:
  World& world_;
  double openedAt_;
  int socket_ = -1;
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
  aWorld.Record(std::to_string(kClients) + " clients of tenant two " +
                (isCalm ? "read their answers" : "do not read"));
  std::list<std::unique_ptr<SilentClient>> silent;
  std::vector<std::shared_ptr<Ask>> issues;
  std::size_t clients = 0;
  std::size_t readWhole = 0;
  const double start = aWorld.Now();
  double nextIssue = start;
  double nextClient = start;
  std::function<void()> askAndRead;
  askAndRead = [&] {
    AskOptions options;
    options.method_ = "GET";
    options.path_ = "/read/" + std::to_string(kAnswerBytes);
    options.id_ = "read-" + std::to_string(clients++);
    options.key_ = "key-two";
    options.deadlineMs_ = kReadDeadlineMs;
    const auto ask = aWorld.Send(edge.callers_, options);
    aWorld.loop_.CallAfter(FromSeconds(kClientSeconds), [&, ask] {
      readWhole += ask->status_ == 200 && ask->isWhole_;
      ask->channel_->Cut();
      if (aWorld.Now() - start < kSceneSeconds) {
        askAndRead();
      }
    });
  };
  std::size_t opened = 0;
  while (aWorld.Now() - start < kSceneSeconds) {
    const double now = aWorld.Now();
    silent.remove_if([](const auto& aClient) { return aClient->IsOver(); });
    // The clients arrive over the first second.
    const bool isDue = now >= nextClient;
    nextClient = isDue ? now + 1.0 / kClients : nextClient;
    if (isDue && isCalm && opened < kClients) {
      ++opened;
      askAndRead();
    } else if (isDue && !isCalm && silent.size() < kClients) {
      silent.push_back(std::make_unique<SilentClient>(
        aWorld, edge.callers_, "read-" + std::to_string(clients++)));
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
    aWorld.RunFor(0.001);
  }
  aWorld.RunFor(3);
  silent.clear();
  std::map<int, int> ends;
  for (const auto& ask : issues) {
    ++ends[ask->status_];
    char text[120];
    std::snprintf(text,
                  sizeof text,
                  "%s of tenant one sent %.3f: %d at %.3f",
                  ask->id_.c_str(),
                  ask->sentAt_,
                  ask->status_,
                  ask->endedAt_);
    aWorld.Record(text);
  }
  int status = 0;
  if (edge.HasEnded(status)) {
    return aWorld.Finish(kBroken, "the edge ended");
  }
  std::string summary = std::to_string(issues.size()) +
                        " requests of ordinary callers, " +
                        std::to_string(ends[200]) + " served;";
  for (const auto& [end, count] : ends) {
    summary += " " + std::to_string(end) + ": " + std::to_string(count);
  }
  summary += "; " + std::to_string(clients) + " requests of the clients, " +
             std::to_string(first.runs_.size() + second.runs_.size()) +
             " run at the desks";
  return aWorld.Finish(
    ends[200] < kStarvedShare * double(issues.size()) ? kBroken : kHeld,
    summary);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunScene(Play, aCount, aArguments);
}
