// Case 10: an entry instance gets SIGTERM while callers wait for the answers to
// two requests that they have sent on one channel, one behind the other.

#include "World.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <thread>

using namespace review;

namespace {

constexpr int kCallers = 6;
constexpr double kSlack = 0.2;
constexpr double kGrace = 8;

struct Caller
{
  std::string name_;
  std::atomic<bool> isDone_{ false };
  double sent_ = 0;
  // Status of the first and the second answer; 0 for none.
  int status_[2] = { 0, 0 };
  // When the channel ended or the second answer was there.
  double ended_ = 0;
};

std::string
Request(const std::string& aId)
{
  return std::string("GET /sheets/800 HTTP/1.1\r\nHost: ") + kHost +
         "\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 15000\r\nApi-Key: " + kKey + "\r\n\r\n";
}

void
Run(Caller& aCaller, std::uint16_t aPort)
{
  const int channel = Connect(aPort);
  const timeval limit{ 14, 0 };
  setsockopt(channel, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const std::string text =
    Request(aCaller.name_ + "-first") + Request(aCaller.name_ + "-second");
  if (channel < 0 ||
      send(channel, text.data(), text.size(), MSG_NOSIGNAL) <= 0) {
    aCaller.isDone_ = true;
    return;
  }
  aCaller.sent_ = Now();
  Record("%s has sent both requests", aCaller.name_.c_str());
  std::string bytes;
  int answers = 0;
  while (answers < 2) {
    char piece[4096];
    const ssize_t count = recv(channel, piece, sizeof piece, 0);
    if (count <= 0) {
      Record("%s: the channel ends: %s",
             aCaller.name_.c_str(),
             count == 0 ? "closed" : strerror(errno));
      break;
    }
    bytes.append(piece, std::size_t(count));
    while (answers < 2) {
      const std::size_t end = bytes.find("\r\n\r\n");
      const std::size_t field = bytes.find("Content-Length: ");
      if (end == std::string::npos || field > end) {
        break;
      }
      const std::size_t length =
        end + 4 + std::strtoul(bytes.c_str() + field + 16, nullptr, 10);
      if (bytes.size() < length) {
        break;
      }
      aCaller.status_[answers] = std::atoi(bytes.c_str() + 9);
      Record("%s: answer %d has status %d%s",
             aCaller.name_.c_str(),
             answers + 1,
             aCaller.status_[answers],
             bytes.substr(0, end).find("Connection: close") == std::string::npos
               ? ""
               : ", Connection: close");
      ++answers;
      bytes.erase(0, length);
    }
  }
  aCaller.ended_ = Now();
  close(channel);
  aCaller.isDone_ = true;
}

} // namespace

int
main()
{
  World world;
  world.AddEngines("desk", 3);
  for (const auto& engine : world.engines_) {
    engine->work_ = std::chrono::milliseconds(1500);
  }
  world.PutManifest(nlohmann::json::array(
                      { Route("/sheets/", "idempotent", "desk", 15000, 2) }),
                    nlohmann::json::array(
                      { { { "name", "desk" }, { "max-connections", 96 } } }));
  world.AddEdges(3);
  if (!world.WaitReady(15)) {
    Record("the instances are not ready");
    return kCouldNotRun;
  }
  Edge& stopped = *world.edges_[0];
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  for (int index = 0; index < kCallers; ++index) {
    callers.push_back(std::make_unique<Caller>());
    callers.back()->name_ = "caller-" + std::to_string(index);
    threads.emplace_back(Run, std::ref(*callers.back()), stopped.callers_);
  }
  world.RunUntil([] { return false; }, 0.5);
  const double term = Now();
  if (HasTrouble()) {
    Record("SIGTERM to %s", stopped.name_.c_str());
    kill(stopped.pid_, SIGTERM);
  }
  const auto areDone = [&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& aCaller) {
      return bool(aCaller->isDone_);
    });
  };
  if (!world.RunUntil(areDone, 16)) {
    Record("callers still wait");
    _exit(kCouldNotRun);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int lost = 0;
  for (const auto& caller : callers) {
    if (caller->sent_ == 0) {
      return kCouldNotRun;
    }
    // Any answer to the second request would do, a refusal too.
    const bool isLost = caller->status_[1] == 0 &&
                        caller->ended_ - caller->sent_ > kSlack &&
                        caller->ended_ - term < kGrace + 1;
    Record("%s: sent %.2f s before the SIGTERM, ended %.2f s after it, %s",
           caller->name_.c_str(),
           term - caller->sent_,
           caller->ended_ - term,
           isLost ? "NO ANSWER TO THE SECOND" : "both answered");
    lost += isLost;
  }
  Record("LOST: %d of %d", lost, kCallers);
  return lost > 0 ? kBroken : kHeld;
}
