#pragma once

// A TCP connection on which a test writes any bytes, also those that no client
// library would send. Calls block; the other side is another process.

#include "base/Address.h"

#include <string>
#include <string_view>

namespace sycamoreward {

class RawConnection
{
public:
  // Fails the test when there is no connection.
  explicit RawConnection(const Address& aAddress);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Returns false when the other side has closed, or takes nothing for 5 s.
  bool Send(std::string_view aBytes);

  // Tells the other side that nothing follows.
  void EndSending();

  // Reads until aEnd has arrived, the other side closes or aSeconds pass.
  // Returns what was read since the connection began.
  const std::string& ReadUntil(const std::string& aEnd, int aSeconds);

  // Reads on; returns whether the other side closes within aSeconds.
  bool IsClosedWithin(int aSeconds);

private:
  // Returns false at the end of the connection and after aSeconds.
  bool ReadSome(int aSeconds);

  int socket_;
  bool isClosed_ = false;
  std::string received_;
};

// Status of the first reply in aText; 0 when there is none.
int
StatusOf(const std::string& aText);

// A masked WebSocket frame, as clients send it. aFirst holds the final flag,
// the reserved bits and the opcode.
std::string
WebSocketFrame(unsigned char aFirst, const std::string& aPayload);

// The request that opens a WebSocket connection.
std::string
WebSocketHandshake();

} // namespace sycamoreward
