#include "runtime/SocketState.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace sycamoreward {

std::size_t
UnacknowledgedBytes(int aSocket)
{
  int queued = 0;
  return ioctl(aSocket, SIOCOUTQ, &queued) == 0 ? std::size_t(queued) : 0;
}

bool
TakeSocketError(int aSocket)
{
  int error = 0;
  socklen_t length = sizeof error;
  return getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
         error != 0;
}

} // namespace sycamoreward
