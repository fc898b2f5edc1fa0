// Case 10: an entry instance gets SIGTERM while callers on links of one megabit
// a second read long answers. Each caller sent its whole request before the
// SIGTERM, its engine has sent its whole answer, and all of it could be read
// well within grace-s.

#include "World.h"

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t kBytes = 768 * 1024;
// A link of about one megabit a second.
constexpr std::size_t kPiece = 4 * 1024;
constexpr auto kPause = std::chrono::milliseconds(32);
constexpr int kCallers = 12;
constexpr double kGrace = 8;

struct Caller
{
  std::string request_;
  std::atomic<bool> isDone_{ false };
  int status_ = 0;
  bool hasProof_ = false;
  std::size_t bytes_ = 0;
  double sent_ = 0;
  double ended_ = 0;
};

void
Ask(Caller& aCaller, std::uint16_t aPort)
{
  const int channel = Connect(aPort);
  const std::string text =
    "GET /sheets/" + std::to_string(kBytes) + " HTTP/1.1\r\nHost: " + kHost +
    "\r\nX-Request-Id: " + aCaller.request_ +
    "\r\nX-Deadline-Ms: 20000\r\nApi-Key: " + kKey + "\r\n\r\n";
  if (channel < 0 ||
      send(channel, text.data(), text.size(), MSG_NOSIGNAL) <= 0) {
    aCaller.isDone_ = true;
    return;
  }
  aCaller.sent_ = Now();
  Record("caller sends %s", aCaller.request_.c_str());
  std::string head;
  std::size_t length = std::string::npos;
  while (aCaller.bytes_ < length) {
    char bytes[kPiece];
    const ssize_t count = recv(channel, bytes, sizeof bytes, 0);
    if (count <= 0) {
      Record("caller %s: the channel ends: %s",
             aCaller.request_.c_str(),
             count == 0 ? "closed" : strerror(errno));
      break;
    }
    if (length == std::string::npos) {
      head.append(bytes, std::size_t(count));
      const std::size_t end = head.find("\r\n\r\n");
      if (end != std::string::npos) {
        aCaller.status_ = std::atoi(head.c_str() + 9);
        const std::size_t field = head.find("Content-Length: ");
        aCaller.hasProof_ = head.find("X-Response-Signature: proof-of-" +
                                      aCaller.request_) != std::string::npos;
        length = field == std::string::npos
                   ? 0
                   : std::strtoul(head.c_str() + field + 16, nullptr, 10);
        aCaller.bytes_ = head.size() - end - 4;
      }
    } else {
      aCaller.bytes_ += std::size_t(count);
    }
    std::this_thread::sleep_for(kPause);
  }
  aCaller.ended_ = Now();
  Record("caller %s: status %d, %zu of %zu bytes",
         aCaller.request_.c_str(),
         aCaller.status_,
         aCaller.bytes_,
         kBytes);
  close(channel);
  aCaller.isDone_ = true;
}

} // namespace

int
main()
{
  World world;
  world.AddEngines("desk", 3);
  world.PutManifest(nlohmann::json::array(
                      { Route("/sheets/", "idempotent", "desk", 20000, 2) }),
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
    callers.back()->request_ = "sheet-" + std::to_string(index);
    threads.emplace_back(Ask, std::ref(*callers.back()), stopped.callers_);
  }
  world.RunUntil([] { return false; }, 1.0);
  const double term = Now();
  if (HasTrouble()) {
    Record("SIGTERM to %s", stopped.name_.c_str());
    kill(stopped.pid_, SIGTERM);
  }
  const bool areDone = world.RunUntil(
    [&] {
      for (const auto& caller : callers) {
        if (!caller->isDone_) {
          return false;
        }
      }
      return true;
    },
    20);
  if (!areDone) {
    Record("callers still wait");
    _exit(kCouldNotRun);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int broken = 0;
  for (const auto& caller : callers) {
    if (caller->sent_ == 0) {
      return kCouldNotRun;
    }
    double engineEnd = 0;
    for (const auto& engine : world.engines_) {
      for (const auto& run : engine->runs_) {
        engineEnd = run->request_ == caller->request_ ? run->ended_ : engineEnd;
      }
    }
    const bool isWhole =
      caller->status_ == 200 && caller->hasProof_ && caller->bytes_ == kBytes;
    // What the rule excuses: the engine broke off or was still at work in the
    // last sixth of the grace. (The time limits are 20 s.)
    const bool isExcused = engineEnd == 0 || engineEnd - term > kGrace * 5 / 6;
    Record("%s: sent %.2f s before the SIGTERM, engine ended %.2f s and "
           "channel %.2f s after it, %s%s",
           caller->request_.c_str(),
           term - caller->sent_,
           engineEnd - term,
           caller->ended_ - term,
           isWhole ? "whole answer" : "NO WHOLE ANSWER",
           !isWhole && isExcused ? " (excused)" : "");
    broken += !isWhole && !isExcused;
  }
  Record("LOST: %d of %d requests", broken, kCallers);
  return broken > 0 ? kBroken : kHeld;
}
