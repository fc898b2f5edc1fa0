#pragma once

// What an HttpClient shares with its calls.

#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <map>
#include <memory>
#include <vector>

struct evhttp_connection;

namespace sycamoreward {

class ClientCall;

struct HttpClient::State
{
  explicit State(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }
  ~State();

  evhttp_connection* Connect(const Address& aAddress, bool aMayReuse);
  void Release(const Address& aAddress, evhttp_connection* aConnection);
  void FreeLater(evhttp_connection* aConnection);
  void FreePending();

  EventLoop& loop_;
  std::map<Address, std::vector<evhttp_connection*>> idle_;
  // Connections to free outside of evhttp's callbacks.
  std::vector<evhttp_connection*> pendingFree_;
  std::map<ClientCall*, std::shared_ptr<ClientCall>> running_;
  std::weak_ptr<State> self_;
  HttpClientTraffic traffic_;
};

} // namespace sycamoreward
