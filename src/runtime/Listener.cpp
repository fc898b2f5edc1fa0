#include "runtime/Listener.h"

#include "base/Error.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include <cerrno>
#include <cstring>

namespace sycamoreward {

namespace {

constexpr int kListenBacklog = 1024;

} // namespace

int
BindListener(const Address& aAddress)
{
  const bool isV6 = aAddress.ip_.find(':') != std::string::npos;
  const int fd = socket(
    isV6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // Accepted sockets inherit this option. Without it, each small chunk of a
  // stream can be delayed by 40 ms because of delayed acknowledgements.
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_storage storage{};
  socklen_t length = 0;
  if (isV6) {
    auto* address = reinterpret_cast<sockaddr_in6*>(&storage);
    address->sin6_family = AF_INET6;
    address->sin6_port = htons(aAddress.port_);
    inet_pton(AF_INET6, aAddress.ip_.c_str(), &address->sin6_addr);
    length = sizeof *address;
  } else {
    auto* address = reinterpret_cast<sockaddr_in*>(&storage);
    address->sin_family = AF_INET;
    address->sin_port = htons(aAddress.port_);
    inet_pton(AF_INET, aAddress.ip_.c_str(), &address->sin_addr);
    length = sizeof *address;
  }
  if (bind(fd, reinterpret_cast<sockaddr*>(&storage), length) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    close(fd);
    throw InternalError("bind",
                        ToString(aAddress),
                        "Can't listen on " + ToString(aAddress) + ": " +
                          reason + ".");
  }
  return fd;
}

std::uint16_t
PortOf(int aFd)
{
  sockaddr_storage storage{};
  socklen_t length = sizeof storage;
  getsockname(aFd, reinterpret_cast<sockaddr*>(&storage), &length);
  return ntohs(storage.ss_family == AF_INET6
                 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                 : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

} // namespace sycamoreward
