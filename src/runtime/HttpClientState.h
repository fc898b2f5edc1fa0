#pragma once

// State that an HttpClient shares with its calls.

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

  // Returns an idle connection if aMayReuse is true and there is one, otherwise
  // a new one.
  evhttp_connection* Connect(const Address& aAddress, bool aMayReuse);
  // Keeps an idle connection for reuse, or frees it if there are enough.
  void Release(const Address& aAddress, evhttp_connection* aConnection);
  void FreeLater(evhttp_connection* aConnection);
  void FreePending();

  EventLoop& loop_;
  std::map<Address, std::vector<evhttp_connection*>> idle_;
  // Connections to be freed outside of evhttp's callbacks.
  std::vector<evhttp_connection*> pendingFree_;
  std::map<ClientCall*, std::shared_ptr<ClientCall>> running_;
  std::weak_ptr<State> self_;
  HttpClientTraffic traffic_;
};

} // namespace sycamoreward
