#pragma once

// A server that answers requests with arbitrary bytes, including those that no
// HTTP library would send.

#include "base/Address.h"
#include "http/Acceptor.h"
#include "http/Channel.h"
#include "http/Head.h"
#include "runtime/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

class ScriptedServer
{
public:
  // One connection of a client. The script writes to channel_ and may close it.
  struct Connection
  {
    std::shared_ptr<http::Channel> channel_;
    // Number of requests that came on the connection, the current one included.
    int requests_ = 0;
  };

  using Script = std::function<void(Connection& aConnection,
                                    const http::RequestHead& aHead)>;

  // Calls aScript for each request with a body of known length, which is
  // dropped.
  ScriptedServer(EventLoop& aLoop, Script aScript)
    : script_(std::move(aScript))
    , acceptor_(aLoop, Address{ "127.0.0.1", 0 }, [this, &aLoop](int aSocket) {
      connections_.push_back(std::make_unique<Connection>());
      Connection& connection = *connections_.back();
      connection.channel_ = http::Channel::Accept(aLoop, aSocket);
      http::Channel::Callbacks callbacks;
      callbacks.onData_ = [this, &connection] { Read(connection); };
      connection.channel_->SetCallbacks(std::move(callbacks));
    })
  {
  }

  Address BoundAddress() const { return acceptor_.BoundAddress(); }

  // Value of a field of a request; empty if it has none.
  static std::string Field(const http::RequestHead& aHead, const char* aName)
  {
    const std::string* value = aHead.Find(aName);
    return value == nullptr ? "" : *value;
  }

private:
  void Read(Connection& aConnection)
  {
    constexpr std::size_t kMaxHeadBytes = 64 * 1024;
    while (!aConnection.channel_->IsClosed()) {
      const std::string_view bytes = aConnection.channel_->Peek(kMaxHeadBytes);
      const std::size_t end = http::FindHeadEnd(bytes);
      if (end == std::string_view::npos) {
        return;
      }
      const http::RequestHead head =
        http::ParseRequestHead(bytes.substr(0, end));
      const std::size_t length =
        http::ParseDecimal(Field(head, "Content-Length")).value_or(0);
      if (bytes.size() < end + length) {
        return;
      }
      aConnection.channel_->Consume(end + length);
      ++aConnection.requests_;
      script_(aConnection, head);
    }
  }

  Script script_;
  std::vector<std::unique_ptr<Connection>> connections_;
  http::Acceptor acceptor_;
};

} // namespace sycamoreward
