#pragma once

// A blocking TCP connection on which a test can send arbitrary bytes, including
// those that no client library would send. The peer runs in another process.

#include "base/Address.h"

#include <string>
#include <string_view>

namespace sycamoreward {

class RawConnection
{
public:
  // Connects to aAddress. Fails the test if the connection is not established.
  explicit RawConnection(const Address& aAddress);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Returns false if the peer has closed the connection or accepts no data for
  // 5 s.
  bool Send(std::string_view aBytes);

  // Closes the sending direction of the connection.
  void EndSending();

  // Reads until aEnd has arrived, the peer closes the connection, or no data
  // arrives for aSeconds. Returns all data received on the connection.
  const std::string& ReadUntil(const std::string& aEnd, int aSeconds);

  // Continues reading. Returns whether the peer closes the connection within
  // aSeconds.
  bool IsClosedWithin(int aSeconds);

private:
  // Reads available data. Returns false if the connection has ended or no data
  // arrives for aSeconds.
  bool ReadSome(int aSeconds);

  int socket_;
  bool isClosed_ = false;
  std::string received_;
};

// Status code of the HTTP response at the start of aText; 0 if there is none.
int
StatusOf(const std::string& aText);

// Returns a masked WebSocket frame as sent by clients. aFirst contains the FIN
// flag, the reserved bits and the opcode.
std::string
WebSocketFrame(unsigned char aFirst, const std::string& aPayload);

// The request that opens a WebSocket connection.
std::string
WebSocketHandshake();

} // namespace sycamoreward
