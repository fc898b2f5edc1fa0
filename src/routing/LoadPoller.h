#pragma once

// Task that polls the load of backend servers once a second.

#include "routing/Server.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

struct ParsedLoad
{
  LoadReport report_;
  // The server announced that it is leaving.
  bool isLeaving_ = false;
};

// Parses the body of a reply to GET /load. Empty if it is malformed.
std::optional<ParsedLoad>
ParseLoad(const std::string& aBody);

class LoadPoller
{
public:
  // Called with each parsed reply. aSent is the time at which the poll was
  // sent.
  using OnLoad = std::function<
    void(const ServerId&, const ParsedLoad&, MonotonicTime aSent)>;

  LoadPoller(EventLoop& aLoop, HttpClient& aClient, OnLoad aOnLoad);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

  // Sets the servers to poll. Servers that were not in the previous set are
  // polled at once.
  void SetServers(const std::vector<Server>& aServers);

  static constexpr std::chrono::seconds kInterval{ 1 };
  // Maximum number of concurrent polls. More than the servers of six groups,
  // which is more than an instance serves, so that unresponsive servers, each
  // of which holds a poll until its timeout, don't keep the others from being
  // polled.
  static constexpr std::size_t kMaxPolls = 160;

private:
  void Tick();
  void Poll(const Server& aServer);

  EventLoop& loop_;
  HttpClient& client_;
  OnLoad onLoad_;
  std::vector<Server> servers_;
  // Index at which the next round starts, so that no server is always polled
  // last.
  std::size_t next_ = 0;
  std::map<ServerId, std::shared_ptr<HttpCall>> polls_;
  EventLoop::TimerId timer_ = 0;
  // Checked by reply callbacks, which can outlive the poller.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
