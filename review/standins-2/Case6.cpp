// Case 6: one part of a prompt crashes each engine that begins to write an
// answer on it. Requests with it come again and again, no two alike; sound
// requests share their caller and their first part.

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

constexpr const char* kFirstPart = "5c1e07a2:341";
constexpr const char* kCrashPart = "dead0001";
constexpr double kContact = 3;
constexpr double kSoundInterval = 1;
constexpr double kPoisonInterval = 5;
constexpr int kSoundBefore = 25;
constexpr int kSoundAfter = 25;

struct Asked
{
  std::string request_;
  std::string parts_;
  std::atomic<bool> isDone_{ false };
  int status_ = 0;
  bool isWhole_ = false;
  std::string retryAfter_;
  double sent_ = 0;
};

void
Send(Asked& aAsked, std::uint16_t aPort)
{
  const int channel = Connect(aPort);
  const std::string body = "prompt of " + aAsked.request_;
  const std::string text =
    std::string("POST /summary/0 HTTP/1.1\r\nHost: ") + kHost +
    "\r\nX-Request-Id: " + aAsked.request_ +
    "\r\nX-Model: m\r\nX-Token-Usage: 900,24\r\nX-Prefix-Hash: " +
    aAsked.parts_ + "\r\nX-Deadline-Ms: 4000\r\nApi-Key: " + kKey +
    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  aAsked.sent_ = Now();
  std::string answer;
  if (channel >= 0 &&
      send(channel, text.data(), text.size(), MSG_NOSIGNAL) > 0) {
    char bytes[4096];
    ssize_t count = 0;
    while (answer.find("\r\n0\r\n\r\n") == std::string::npos &&
           (count = recv(channel, bytes, sizeof bytes, 0)) > 0) {
      answer.append(bytes, std::size_t(count));
      const std::size_t end = answer.find("\r\n\r\n");
      const std::size_t field = answer.find("Content-Length: ");
      if (end != std::string::npos && field < end &&
          answer.size() >=
            end + 4 + std::strtoul(answer.c_str() + field + 16, nullptr, 10)) {
        break;
      }
    }
  }
  if (answer.size() > 12) {
    aAsked.status_ = std::atoi(answer.c_str() + 9);
  }
  const std::size_t field = answer.find("Retry-After: ");
  if (field != std::string::npos) {
    aAsked.retryAfter_ =
      answer.substr(field + 13, answer.find('\r', field) - field - 13);
  }
  aAsked.isWhole_ =
    aAsked.status_ == 200 && answer.find("\r\n0\r\n\r\n") != std::string::npos;
  if (channel >= 0) {
    close(channel);
  }
  Record("caller %s: status %d%s%s%s",
         aAsked.request_.c_str(),
         aAsked.status_,
         aAsked.isWhole_ ? ", whole" : "",
         aAsked.retryAfter_.empty() ? "" : ", Retry-After ",
         aAsked.retryAfter_.c_str());
  aAsked.isDone_ = true;
}

struct Callers
{
  World& world_;
  std::vector<std::unique_ptr<Asked>> asked_;
  std::vector<std::thread> threads_;
  std::size_t next_ = 0;

  Asked& Ask(const std::string& aRequest, const std::string& aParts)
  {
    asked_.push_back(std::make_unique<Asked>());
    asked_.back()->request_ = aRequest;
    asked_.back()->parts_ = aParts;
    const auto& edges = world_.edges_;
    threads_.emplace_back(
      Send, std::ref(*asked_.back()), edges[next_++ % edges.size()]->callers_);
    return *asked_.back();
  }

  void AskSound(int aNumber)
  {
    Ask("sound-" + std::to_string(aNumber),
        std::string(kFirstPart) + "," + std::to_string(7000 + aNumber % 5) +
          ":227," + std::to_string(900000 + aNumber) + ":250");
  }
};

} // namespace

int
main()
{
  World world;
  world.AddEngines("model", 6);
  for (const auto& engine : world.engines_) {
    engine->work_ = std::chrono::milliseconds(20);
    engine->events_ = 8;
    engine->crashPart_ = HasTrouble() ? kCrashPart : "";
  }
  nlohmann::json route = Route("/summary/", "streaming", "model", 4000, 2);
  route["resumable"] = true;
  route["sticky"] = true;
  world.PutManifest(
    nlohmann::json::array({ route }),
    nlohmann::json::array(
      { { { "name", "model" },
          { "max-connections", 360 },
          { "backend", { { "slots", 64 }, { "kv-capacity", 374098 } } } } }));
  world.AddEdges(3);
  if (!world.WaitReady(15)) {
    Record("the instances are not ready");
    return kCouldNotRun;
  }
  Callers callers{ world, {}, {}, 0 };
  // The last of the crashes, or the fifth.
  const auto lastCrash = [&] {
    std::vector<double> all;
    for (const auto& engine : world.engines_) {
      all.insert(all.end(), engine->crashes_.begin(), engine->crashes_.end());
    }
    std::sort(all.begin(), all.end());
    return all.empty() ? 0 : all[std::min<std::size_t>(all.size(), 5) - 1];
  };
  int sound = 0;
  int poison = 0;
  for (; sound < kSoundBefore; ++sound) {
    callers.AskSound(sound);
    world.RunUntil([] { return false; }, kSoundInterval);
  }
  // Between two sound requests, whose answers take 0.35 s.
  double nextSound = Now();
  double nextPoison = Now() + 0.45 * kSoundInterval;
  const double firstPoison = nextPoison;
  Asked* retried = nullptr;
  int after = 0;
  std::vector<std::string> judged;
  while (after < kSoundAfter && Now() < firstPoison + 60) {
    if (Now() >= nextSound) {
      nextSound += kSoundInterval;
      const double last = HasTrouble() ? lastCrash() : firstPoison;
      if (last > 0 && Now() > last + 2 * kContact) {
        ++after;
        judged.push_back("sound-" + std::to_string(sound));
      }
      callers.AskSound(sound++);
    }
    if (Now() >= nextPoison) {
      nextPoison += kPoisonInterval;
      retried =
        &callers.Ask("poison-" + std::to_string(poison),
                     std::string(kFirstPart) + "," + kCrashPart + ":227," +
                       std::to_string(800000 + poison) + ":250");
      ++poison;
    }
    if (retried != nullptr && retried->isDone_) {
      // The caller's only retry, on a new channel, as the site's callers do.
      const bool mayRetry = retried->status_ == 0 || retried->status_ == 500 ||
                            retried->status_ == 502 || retried->status_ == 504;
      const std::string again = retried->request_ + "-again";
      const std::string parts = retried->parts_;
      retried = nullptr;
      if (mayRetry) {
        Asked& second = callers.Ask(again, parts);
        (void)second;
      }
    }
    world.RunUntil([] { return false; }, 0.01);
  }
  const double end = Now() + 6;
  const auto areDone = [&] {
    return std::all_of(
      callers.asked_.begin(), callers.asked_.end(), [](const auto& aAsked) {
        return bool(aAsked->isDone_);
      });
  };
  if (!world.RunUntil(areDone, end - Now())) {
    Record("callers still wait");
    _exit(kCouldNotRun);
  }
  for (std::thread& thread : callers.threads_) {
    thread.join();
  }
  const auto begins = [&](const std::string& aRequest) {
    for (const auto& engine : world.engines_) {
      for (const auto& run : engine->runs_) {
        if (run->request_ == aRequest) {
          return 1;
        }
      }
    }
    return 0;
  };
  int begunBefore = 0;
  for (int number = 0; number < kSoundBefore; ++number) {
    begunBefore += begins("sound-" + std::to_string(number));
  }
  int begunAfter = 0;
  for (const std::string& request : judged) {
    begunAfter += begins(request);
  }
  std::size_t crashes = 0;
  for (const auto& engine : world.engines_) {
    crashes += engine->crashes_.size();
  }
  Record("%zu crashes, %d requests with the part", crashes, poison);
  Record("LOST: sound requests begun: %d of %d before, %d of %zu later than "
         "2 x contact-ms after the last crash",
         begunBefore,
         kSoundBefore,
         begunAfter,
         judged.size());
  if (judged.size() < 20) {
    return kCouldNotRun;
  }
  const double before = double(begunBefore) / kSoundBefore;
  const double later = double(begunAfter) / double(judged.size());
  return later < before / 2 ? kBroken : kHeld;
}
