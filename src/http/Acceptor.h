#pragma once

// Listens on a TCP address and passes each accepted socket to a callback.

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
  // Starts listening on aAddress. aOnSocket runs on aLoop for each accepted
  // socket and takes ownership of it. Throws InternalError when the address
  // can't be bound.
  Acceptor(EventLoop& aLoop,
           const Address& aAddress,
           std::function<void(int aSocket)> aOnSocket);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // The address in use; port 0 is replaced by the port that the system chose.
  const Address& BoundAddress() const { return address_; }

private:
  Address address_;
  std::function<void(int)> onSocket_;
  evconnlistener* listener_;
};

} // namespace sycamoreward::http
