// Case 9: an engine fails some of its requests while its health is good: it
// begins to run them and answers 503 without X-Not-Executed. The answer goes on
// to the caller, for whom 503 promises that the request hasn't run and never
// will.

#include "World.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <thread>

using namespace review;

namespace {

// The site's srv_grey: at most a share of 0.14 of the engines fail at most a
// share of 0.45 of their requests for at most 6.5 s.
constexpr int kEngines = 8;
constexpr int kCallers = 24;
constexpr double kFailedShare = 0.45;
constexpr double kFailingSeconds = 6.5;
constexpr double kSeconds = 9;

struct Caller
{
  std::string name_;
  std::atomic<bool> isDone_{ false };
  // Status of each request; 0 for none.
  std::vector<std::pair<std::string, int>> answers_;
};

int
Ask(const std::string& aRequest, std::uint16_t aPort)
{
  const int channel = Connect(aPort);
  const std::string body = "rod bank of " + aRequest;
  const std::string text =
    std::string("POST /issue/300 HTTP/1.1\r\nHost: ") + kHost +
    "\r\nX-Request-Id: " + aRequest +
    "\r\nX-Deadline-Ms: 1500\r\nApi-Key: " + kKey +
    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  char bytes[4096] = {};
  int status = 0;
  if (channel >= 0 &&
      send(channel, text.data(), text.size(), MSG_NOSIGNAL) > 0 &&
      recv(channel, bytes, sizeof bytes - 1, 0) > 12) {
    status = std::atoi(bytes + 9);
  }
  Record("caller: %s answered %d", aRequest.c_str(), status);
  if (channel >= 0) {
    close(channel);
  }
  return status;
}

// Asks for one certificate after the other. After a promise it asks once more,
// as the pages allow it.
void
Run(Caller& aCaller, std::uint16_t aPort, double aEnd)
{
  for (int number = 0; Now() < aEnd; ++number) {
    const std::string request = aCaller.name_ + "-" + std::to_string(number);
    const int status = Ask(request, aPort);
    aCaller.answers_.emplace_back(request, status);
    if (status == 503 || status == 429) {
      const std::string again = request + "-again";
      aCaller.answers_.emplace_back(again, Ask(again, aPort));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  aCaller.isDone_ = true;
}

} // namespace

int
main()
{
  World world;
  world.AddEngines("desk", kEngines);
  for (const auto& engine : world.engines_) {
    engine->work_ = std::chrono::milliseconds(30);
  }
  world.PutManifest(nlohmann::json::array(
                      { Route("/issue/", "non_idempotent", "desk", 1500, 1) }),
                    nlohmann::json::array(
                      { { { "name", "desk" }, { "max-connections", 96 } } }));
  world.AddEdges(3);
  if (!world.WaitReady(15)) {
    Record("the instances are not ready");
    return kCouldNotRun;
  }
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  const double start = Now();
  for (int number = 0; number < kCallers; ++number) {
    const Edge& edge = *world.edges_[std::size_t(number) % 3];
    callers.push_back(std::make_unique<Caller>());
    callers.back()->name_ = "caller-" + std::to_string(number);
    threads.emplace_back(
      Run, std::ref(*callers.back()), edge.callers_, start + kSeconds);
  }
  world.RunUntil([] { return false; }, 1);
  if (HasTrouble()) {
    Record("%s fails some of its requests", world.engines_[0]->id_.c_str());
    world.engines_[0]->failedShare_ = kFailedShare;
  }
  world.RunUntil([] { return false; }, kFailingSeconds);
  world.engines_[0]->failedShare_ = 0;
  const auto areDone = [&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& aCaller) {
      return bool(aCaller->isDone_);
    });
  };
  if (!world.RunUntil(areDone, kSeconds + 5)) {
    Record("callers still wait");
    _exit(kCouldNotRun);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::size_t asked = 0;
  int refused = 0;
  int doubled = 0;
  for (const auto& caller : callers) {
    asked += caller->answers_.size();
    for (const auto& [request, status] : caller->answers_) {
      bool hasRun = false;
      bool hasRunAgain = false;
      for (const auto& engine : world.engines_) {
        for (const auto& run : engine->runs_) {
          hasRun = hasRun || run->request_ == request;
          hasRunAgain = hasRunAgain || run->request_ == request + "-again";
        }
      }
      const bool isPromise =
        status == 503 || status == 429 || status == 408 || status == 421;
      refused += hasRun && isPromise;
      doubled += hasRun && isPromise && hasRunAgain;
    }
  }
  Record("REFUSED: %d of %zu requests were answered with a promise that they "
         "had not run, and had run; %d of them ran again for the same caller",
         refused,
         asked,
         doubled);
  return refused > 0 ? kBroken : kHeld;
}
