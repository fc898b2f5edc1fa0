#pragma once

// Task that asks backend servers for their load once a second.

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
  // The server said that it leaves.
  bool isLeaving_ = false;
};

// Reads the body of GET /load. Empty when it is malformed.
std::optional<ParsedLoad>
ParseLoad(const std::string& aBody);

class LoadPoller
{
public:
  // aSent is when the poll was sent.
  using OnLoad = std::function<
    void(const ServerId&, const ParsedLoad&, MonotonicTime aSent)>;

  LoadPoller(EventLoop& aLoop, HttpClient& aClient, OnLoad aOnLoad);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

  // Sets the servers to poll. New ones are polled at once.
  void SetServers(const std::vector<Server>& aServers);

  static constexpr std::chrono::seconds kInterval{ 1 };
  // More than the servers of six groups, which is more than an instance serves,
  // so that frozen servers, which hold a poll until its timeout, don't keep the
  // others from being polled.
  static constexpr std::size_t kMaxPolls = 160;

private:
  void Tick();
  void Poll(const Server& aServer);

  EventLoop& loop_;
  HttpClient& client_;
  OnLoad onLoad_;
  std::vector<Server> servers_;
  // Where the next round begins, so that no server is always the last.
  std::size_t next_ = 0;
  std::map<ServerId, std::shared_ptr<HttpCall>> polls_;
  EventLoop::TimerId timer_ = 0;
  // Replies check this, for they can outlive the poller.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
