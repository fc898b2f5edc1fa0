#pragma once

// A server on plain sockets that answers a request once it has the head,
// without reading the body, and that ends its side of the connection or resets
// it when the test says.

#include "base/Address.h"
#include "http/Acceptor.h"
#include "http/Head.h"
#include "runtime/EventLoop.h"

#include <functional>
#include <map>
#include <string>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sycamoreward {

class AbruptServer
{
public:
  // How the server ends a connection after it has sent its answer.
  struct Ending
  {
    // Reads the body of the request before it answers.
    bool readsBody_ = false;
    // Ends its side after the answer.
    bool endsSide_ = false;
    // Resets the connection this long after the answer; never if negative.
    Duration resetDelay_{ -1 };
  };

  // aMakeAnswer returns the bytes of the answer to a request.
  AbruptServer(EventLoop& aLoop,
               std::function<std::string(const http::RequestHead&)> aMakeAnswer)
    : loop_(aLoop)
    , makeAnswer_(std::move(aMakeAnswer))
    , acceptor_(aLoop, Address{ "127.0.0.1", 0 }, [this](int aSocket) {
      received_[aSocket];
      Read(aSocket);
    })
  {
  }
  ~AbruptServer()
  {
    for (const auto& [descriptor, bytes] : received_) {
      close(descriptor);
    }
  }
  AbruptServer(const AbruptServer&) = delete;
  AbruptServer& operator=(const AbruptServer&) = delete;

  Address BoundAddress() const { return acceptor_.BoundAddress(); }

  Ending ending_;

private:
  // Reads until the request can be answered. Polls, so that nothing is read
  // that the test doesn't ask for.
  void Read(int aSocket)
  {
    constexpr Duration kPollInterval = std::chrono::milliseconds(1);
    std::string& bytes = received_[aSocket];
    char buffer[16 * 1024];
    const bool isHeadOnly = !ending_.readsBody_;
    const std::size_t limit = isHeadOnly ? 1024 : sizeof buffer;
    ssize_t count = 0;
    while (!IsReady(bytes) &&
           (count = recv(aSocket, buffer, limit, MSG_DONTWAIT)) > 0) {
      bytes.append(buffer, std::size_t(count));
    }
    if (IsReady(bytes)) {
      Answer(aSocket);
    } else if (count != 0) {
      loop_.CallAfter(kPollInterval, [this, aSocket] {
        if (received_.count(aSocket) != 0) {
          Read(aSocket);
        }
      });
    }
  }

  bool IsReady(const std::string& aBytes) const
  {
    const std::size_t end = http::FindHeadEnd(aBytes);
    if (end == std::string::npos || !ending_.readsBody_) {
      return end != std::string::npos;
    }
    const http::RequestHead head =
      http::ParseRequestHead(aBytes.substr(0, end));
    const std::string* length = head.Find("Content-Length");
    return aBytes.size() >= end + (length == nullptr ? 0 : std::stoul(*length));
  }

  void Answer(int aSocket)
  {
    const std::string& bytes = received_[aSocket];
    const std::string answer = makeAnswer_(http::ParseRequestHead(
      std::string_view(bytes).substr(0, http::FindHeadEnd(bytes))));
    // Answers fit into the buffers of the sockets.
    (void)!send(aSocket, answer.data(), answer.size(), MSG_NOSIGNAL);
    if (ending_.endsSide_) {
      shutdown(aSocket, SHUT_WR);
    }
    if (ending_.resetDelay_ == Duration(0)) {
      Reset(aSocket);
    } else if (ending_.resetDelay_ > Duration(0)) {
      loop_.CallAfter(ending_.resetDelay_, [this, aSocket] { Reset(aSocket); });
    }
  }

  void Reset(int aSocket)
  {
    const linger cut{ 1, 0 };
    setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &cut, sizeof cut);
    received_.erase(aSocket);
    close(aSocket);
  }

  EventLoop& loop_;
  std::function<std::string(const http::RequestHead&)> makeAnswer_;
  // Bytes of the requests on open connections.
  std::map<int, std::string> received_;
  http::Acceptor acceptor_;
};

} // namespace sycamoreward
