// Case 8: one tenant sends many times its usual requests, each within the
// manifest's limits, and the entry instance needs more memory than its machine
// gives it. The platform ends the process; requests that it has passed on to
// engines, which are sound, end without an answer.

#include "World.h"

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <thread>

using namespace review;

namespace {

// Within max-body-bytes of the manifest (4194304, as in the users' sites).
constexpr std::size_t kBytes = 4000000;
constexpr std::size_t kMemoryLimit = std::size_t(260) * 1024 * 1024;
// Requests a second at this instance: of the tenant that becomes hot, and of
// all others.
constexpr double kTenantPerSecond = 1.5;
constexpr double kOthersPerSecond = 3.5;
// The largest hot_tenant that the site names, for its time.
constexpr double kHot = 7.5;
constexpr double kHotSeconds = 6.5;
constexpr double kHotStart = 6;
constexpr double kSeconds = 14;

struct Ask
{
  std::string request_;
  std::atomic<bool> isDone_{ false };
  std::atomic<bool> isSent_{ false };
  int status_ = 0;
  double sent_ = 0;
  double ended_ = 0;
};

std::string
Body()
{
  return std::string(kBytes, 's');
}

void
Send(Ask& aAsk, std::uint16_t aPort, const std::string& aBody)
{
  const int channel = Connect(aPort);
  const std::string head =
    std::string("POST /reviews/800 HTTP/1.1\r\nHost: ") + kHost +
    "\r\nX-Request-Id: " + aAsk.request_ +
    "\r\nX-Deadline-Ms: 15000\r\nApi-Key: " + kKey +
    "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  bool isSent =
    channel >= 0 && send(channel, head.data(), head.size(), MSG_NOSIGNAL) > 0;
  for (std::size_t at = 0; isSent && at < aBody.size();) {
    const ssize_t count =
      send(channel, aBody.data() + at, aBody.size() - at, MSG_NOSIGNAL);
    isSent = count > 0;
    at += count > 0 ? std::size_t(count) : 0;
  }
  aAsk.sent_ = Now();
  aAsk.isSent_ = isSent;
  char bytes[2048] = {};
  const ssize_t count = isSent ? recv(channel, bytes, sizeof bytes - 1, 0) : -1;
  if (count > 12) {
    aAsk.status_ = std::atoi(bytes + 9);
  }
  aAsk.ended_ = Now();
  Record("caller %s: %s, status %d%s",
         aAsk.request_.c_str(),
         isSent ? "sent" : "not sent",
         aAsk.status_,
         isSent && aAsk.status_ == 0 ? ", the channel ends without an answer"
                                     : "");
  if (channel >= 0) {
    close(channel);
  }
  aAsk.isDone_ = true;
}

} // namespace

int
main()
{
  World world;
  world.AddEngines("model", 6);
  for (const auto& engine : world.engines_) {
    engine->work_ = std::chrono::milliseconds(5000);
  }
  world.PutManifest(nlohmann::json::array({ Route(
                      "/reviews/", "non_idempotent", "model", 15000, 1) }),
                    nlohmann::json::array(
                      { { { "name", "model" }, { "max-connections", 360 } } }));
  world.AddEdges(3);
  if (!world.WaitReady(15)) {
    Record("the instances are not ready");
    return kCouldNotRun;
  }
  Edge& edge = *world.edges_[0];
  const std::string body = Body();
  std::vector<std::unique_ptr<Ask>> asks;
  std::vector<std::thread> threads;
  const double start = Now();
  double next = start;
  std::size_t most = 0;
  double lastNote = 0;
  int kills = 0;
  double killed = 0;
  const auto isWaiting = [&] {
    for (const auto& ask : asks) {
      if (!ask->isDone_) {
        return true;
      }
    }
    return Now() < start + kSeconds;
  };
  while (isWaiting() && Now() < start + kSeconds + 20) {
    const double now = Now() - start;
    const bool isHot =
      HasTrouble() && now >= kHotStart && now < kHotStart + kHotSeconds;
    if (now < kSeconds && Now() >= next && edge.ended_ == 0) {
      next += 1 / (kOthersPerSecond + kTenantPerSecond * (isHot ? kHot : 1));
      asks.push_back(std::make_unique<Ask>());
      asks.back()->request_ = "review-" + std::to_string(asks.size());
      threads.emplace_back(
        Send, std::ref(*asks.back()), edge.callers_, std::cref(body));
    }
    world.loop_.RunUntil([] { return false; }, std::chrono::milliseconds(5));
    world.Reap();
    if (edge.ended_ != 0) {
      continue;
    }
    const std::size_t bytes = ResidentBytes(edge.pid_);
    most = std::max(most, bytes);
    if (Now() - lastNote > 0.5) {
      lastNote = Now();
      Record("%s uses %.1f MB", edge.name_.c_str(), double(bytes) / 1048576);
    }
    if (bytes > kMemoryLimit) {
      Record("%s uses %.1f MB, more than memory-mb: the platform ends it",
             edge.name_.c_str(),
             double(bytes) / 1048576);
      ++kills;
      killed = Now();
      kill(edge.pid_, SIGKILL);
      world.RunUntil([&] { return edge.ended_ != 0; }, 2);
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int lost = 0;
  for (const auto& ask : asks) {
    bool hasRun = false;
    for (const auto& engine : world.engines_) {
      for (const auto& run : engine->runs_) {
        hasRun = hasRun || run->request_ == ask->request_;
      }
    }
    lost += hasRun && ask->status_ == 0;
  }
  Record("most memory %.1f MB; ended by the platform %d times%s",
         double(most) / 1048576,
         kills,
         killed == 0 ? "" : " (see above)");
  Record("LOST: %d requests of %zu were passed on to a sound engine and have "
         "no answer",
         lost,
         asks.size());
  return lost > 3 ? kBroken : kHeld;
}
