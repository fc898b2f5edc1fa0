#pragma once

// Listens on an address and hands over accepted sockets.

#include "base/Address.h"

#include <functional>

struct evconnlistener;

namespace sycamoreward {
class EventLoop;
} // namespace sycamoreward

namespace sycamoreward::http {

class Acceptor
{
public:
  // Throws InternalError when the address can't be bound.
  Acceptor(EventLoop& aLoop,
           const Address& aAddress,
           std::function<void(int aSocket)> aOnSocket);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // With the port that the system chose when the given one was 0.
  const Address& BoundAddress() const { return address_; }

private:
  Address address_;
  std::function<void(int)> onSocket_;
  evconnlistener* listener_;
};

} // namespace sycamoreward::http
