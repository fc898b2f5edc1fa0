#pragma once

// Listens on a TCP address and passes each accepted socket to a callback.

#include "base/Address.h"

#include <cstdint>
#include <functional>

struct evconnlistener;

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::http {

class Acceptor
{
public:
  // Starts listening on aAddress. aOnSocket runs on aLoop for each accepted
  // socket and takes ownership of it. aOnFailure runs when the system has no
  // descriptors or no memory for a connection; accepting pauses for a moment
  // then. Throws InternalError when the address can't be bound.
  Acceptor(EventLoop& aLoop,
           const Address& aAddress,
           std::function<void(int aSocket)> aOnSocket,
           std::function<void()> aOnFailure = nullptr);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // The address in use; port 0 is replaced by the port that the system chose.
  const Address& BoundAddress() const { return address_; }

private:
  void PauseAfterFailure();

  EventLoop& loop_;
  Address address_;
  std::function<void(int)> onSocket_;
  std::function<void()> onFailure_;
  evconnlistener* listener_;
  std::uint64_t timer_ = 0;
};

} // namespace sycamoreward::http
