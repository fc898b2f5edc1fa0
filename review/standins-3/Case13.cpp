// Callers send two requests one after the other on a channel, without waiting
// for the first answer. The process gets SIGTERM while the first ones run. With
// TROUBLE=0 it gets none.

#include "World.h"

#include "peer/SocketAddress.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace review;

constexpr int kCallers = 8;
// Work of a request at the desk.
constexpr Duration kWork = std::chrono::milliseconds(800);
constexpr int kDeadlineMs = 6000;
// The rule's slack between the last byte of a request and the channel's end.
constexpr double kLossSlackSeconds = 0.2;

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

  std::map<std::string, double> runs_;

private:
  void Handle(const std::shared_ptr<http::CallerExchange>& aExchange)
  {
    const std::string request = Field(*aExchange, "X-Request-Id");
    http::ResponseHead head;
    head.fields_ = { { "X-Request-Id", request } };
    if (Field(*aExchange, "X-Expect-Instance") != id_) {
      head.status_ = 421;
      head.reason_ = "Misdirected Request";
      head.fields_.push_back({ "X-Instance-Id", id_ });
      aExchange->Answer(std::move(head), "");
      return;
    }
    runs_[request] = world_.Now();
    head.status_ = 200;
    head.reason_ = "OK";
    head.fields_.push_back({ "X-Response-Signature", "sig-" + request });
    world_.loop_.CallAfter(kWork, [aExchange, head, request] {
      aExchange->Answer(head, "answer to " + request);
    });
  }

  World& world_;
  std::string id_;
  http::CallerServer server_;
};

// Sends two requests and reads until the channel ends.
class Caller
{
public:
  Caller(World& aWorld, const Address& aEdge, int aNumber)
    : world_(aWorld)
  {
    for (const char* part : { "a", "b" }) {
      ids_.push_back("issue-" + std::to_string(aNumber) + part);
    }
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_storage storage{};
    const socklen_t length = FillSocketAddress(aEdge, storage);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&storage), length) != 0) {
      isOver_ = true;
      return;
    }
    fcntl(socket_, F_SETFL, O_NONBLOCK);
    std::string text;
    for (const std::string& id : ids_) {
      const std::string body = "certificate " + id;
      text.append("POST /issue/a HTTP/1.1\r\nHost: office.example\r\n");
      text.append("X-Request-Id: ").append(id);
      text.append("\r\nX-Deadline-Ms: ").append(std::to_string(kDeadlineMs));
      text.append("\r\nApi-Key: key-one\r\nContent-Length: ");
      text.append(std::to_string(body.size())).append("\r\n\r\n");
      text.append(body);
    }
    (void)!write(socket_, text.data(), text.size());
    sentAt_ = world_.Now();
    Step();
  }
  ~Caller()
  {
    world_.loop_.CancelTimer(timer_);
    close(socket_);
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Number of answers of any status.
  std::size_t Answers() const
  {
    std::size_t count = 0;
    for (std::size_t at = text_.find("HTTP/1.1 "); at != std::string::npos;
         at = text_.find("HTTP/1.1 ", at + 1)) {
      ++count;
    }
    return count;
  }

  std::vector<std::string> ids_;
  std::string text_;
  double sentAt_ = 0;
  double endedAt_ = 0;
  bool isOver_ = false;

private:
  void Step()
  {
    char block[4096];
    const ssize_t count = read(socket_, block, sizeof block);
    if (count > 0) {
      text_.append(block, std::size_t(count));
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      isOver_ = true;
      endedAt_ = world_.Now();
      return;
    }
    timer_ =
      world_.loop_.CallAfter(std::chrono::milliseconds(2), [this] { Step(); });
  }

  World& world_;
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
    nlohmann::json::array({ World::Route(
      "/issue/", "non_idempotent", "desk", 1, false, 6000, 3000) }),
    nlohmann::json::array(
      { { { "name", "desk" }, { "max-connections", 96 } } }));
  aWorld.ListEngine(
    "desk-0", "desk", first.BoundAddress(), "forth-a", "ready", 6);
  aWorld.ListEngine(
    "desk-1", "desk", second.BoundAddress(), "forth-b", "ready", 6);
  const EdgeProcess& edge = aWorld.AddEdge();
  aWorld.AddEdge();
  if (!aWorld.WaitReady(15)) {
    return aWorld.Finish(kNotRun, "the edges were not ready within 15 s");
  }
  aWorld.RunFor(4);
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(std::make_unique<Caller>(aWorld, edge.callers_, number));
  }
  aWorld.RunFor(0.3);
  const double stoppedAt = aWorld.Now();
  if (!isCalm) {
    aWorld.Record("SIGTERM to " + edge.name_);
    edge.Signal(SIGTERM);
  }
  aWorld.RunFor(8);
  int answered = 0;
  int lost = 0;
  for (const auto& caller : callers) {
    const std::size_t answers = caller->Answers();
    answered += int(answers);
    const bool isLost = caller->isOver_ && answers < 2 &&
                        caller->endedAt_ - caller->sentAt_ > kLossSlackSeconds;
    lost += isLost;
    const bool hasRun = first.runs_.count(caller->ids_[1]) != 0 ||
                        second.runs_.count(caller->ids_[1]) != 0;
    char text[200];
    std::snprintf(text,
                  sizeof text,
                  "%s and %s sent %.3f, SIGTERM %.3f; %zu answers; the channel "
                  "%s %.3f; the second %s%s",
                  caller->ids_[0].c_str(),
                  caller->ids_[1].c_str(),
                  caller->sentAt_,
                  stoppedAt,
                  answers,
                  caller->isOver_ ? "ended" : "is open",
                  caller->endedAt_,
                  hasRun ? "has run" : "has not run",
                  isLost ? "  NO ANSWER" : "");
    aWorld.Record(text);
  }
  const std::string summary =
    std::to_string(2 * kCallers) + " requests, " + std::to_string(answered) +
    " answered; " + std::to_string(lost) +
    " channels ended without an answer to a request that was read";
  if (answered == 0) {
    return aWorld.Finish(kNotRun, "nothing was answered: " + summary);
  }
  return aWorld.Finish(lost > 0 ? kBroken : kHeld, summary);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunScene(Play, aCount, aArguments);
}
