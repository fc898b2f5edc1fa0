#include "support/RawConnection.h"

#include "peer/SocketAddress.h"

#include <criterion/criterion.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

namespace sycamoreward {

namespace {

constexpr int kSendTimeoutSeconds = 5;
constexpr std::size_t kMaxShortLength = 125;
constexpr std::size_t kMaxMediumLength = 65535;
constexpr char kMasked = char(0x80);

} // namespace

RawConnection::RawConnection(const Address& aAddress)
  : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_storage storage{};
  const socklen_t length = FillSocketAddress(aAddress, storage);
  const timeval limit{ kSendTimeoutSeconds, 0 };
  setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  cr_assert_eq(connect(socket_, reinterpret_cast<sockaddr*>(&storage), length),
               0);
}

RawConnection::~RawConnection()
{
  close(socket_);
}

bool
RawConnection::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(std::size_t(sent));
  }
  return true;
}

void
RawConnection::EndSending()
{
  shutdown(socket_, SHUT_WR);
}

bool
RawConnection::ReadSome(int aSeconds)
{
  pollfd ready{ socket_, POLLIN, 0 };
  if (isClosed_ || poll(&ready, 1, aSeconds * 1000) != 1) {
    return false;
  }
  char bytes[4096];
  const ssize_t count = recv(socket_, bytes, sizeof bytes, 0);
  isClosed_ = count <= 0;
  if (!isClosed_) {
    received_.append(bytes, std::size_t(count));
  }
  return !isClosed_;
}

const std::string&
RawConnection::ReadUntil(const std::string& aEnd, int aSeconds)
{
  while (received_.find(aEnd) == std::string::npos && ReadSome(aSeconds)) {
  }
  return received_;
}

bool
RawConnection::IsClosedWithin(int aSeconds)
{
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::seconds(aSeconds);
  while (std::chrono::steady_clock::now() < end && ReadSome(aSeconds)) {
  }
  return isClosed_;
}

int
StatusOf(const std::string& aText)
{
  const bool isReply = aText.compare(0, 7, "HTTP/1.") == 0 && aText.size() > 12;
  return isReply ? std::stoi(aText.substr(9, 3)) : 0;
}

std::string
WebSocketFrame(unsigned char aFirst, const std::string& aPayload)
{
  std::string frame(1, char(aFirst));
  const std::size_t size = aPayload.size();
  if (size <= kMaxShortLength) {
    frame += char(kMasked | char(size));
  } else {
    const bool isMedium = size <= kMaxMediumLength;
    frame += char(kMasked | char(isMedium ? 126 : 127));
    for (int shift = isMedium ? 8 : 56; shift >= 0; shift -= 8) {
      frame += char((std::uint64_t(size) >> unsigned(shift)) & 0xFFU);
    }
  }
  // A mask of zeros leaves the payload unchanged.
  return frame + std::string(4, '\0') + aPayload;
}

std::string
WebSocketHandshake()
{
  return "GET /peer HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\n"
         "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
         "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
}

} // namespace sycamoreward
