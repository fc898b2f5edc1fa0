#include "peer/SocketAddress.h"

#include <netinet/in.h>

#include <arpa/inet.h>

namespace sycamoreward {

socklen_t
FillSocketAddress(const Address& aAddress, sockaddr_storage& aStorage)
{
  if (aAddress.ip_.find(':') != std::string::npos) {
    auto* address = reinterpret_cast<sockaddr_in6*>(&aStorage);
    address->sin6_family = AF_INET6;
    address->sin6_port = htons(aAddress.port_);
    inet_pton(AF_INET6, aAddress.ip_.c_str(), &address->sin6_addr);
    return sizeof *address;
  }
  auto* address = reinterpret_cast<sockaddr_in*>(&aStorage);
  address->sin_family = AF_INET;
  address->sin_port = htons(aAddress.port_);
  inet_pton(AF_INET, aAddress.ip_.c_str(), &address->sin_addr);
  return sizeof *address;
}

std::uint16_t
BoundPort(int aSocket)
{
  sockaddr_storage storage{};
  socklen_t length = sizeof storage;
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&storage), &length);
  return ntohs(storage.ss_family == AF_INET6
                 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                 : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

} // namespace sycamoreward
