#pragma once

// What to do about a backend server that sends nothing: it is asked for its
// load on a new connection, which tells a busy server from a silent connection.

#include "base/Address.h"
#include "base/Clock.h"

#include <functional>

namespace sycamoreward {

class HttpClient;

struct ProbeResult
{
  // The server sent a load report on the new connection.
  bool isAnswered_ = false;
  unsigned running_ = 0;
  unsigned waiting_ = 0;
};

enum class SilenceAction
{
  // The request may be among those that wait at the server.
  Wait,
  // The connection or the server is silent.
  EndAttempt
};

// Silence timeouts for which a busy server is waited for. It bounds the wait on
// a silent connection to a server that is busy with other requests.
constexpr unsigned kMaxSilenceWaits = 4;

// An engine streams what it runs, so only a request in its queue is quiet. A
// plain service is quiet until its reply.
SilenceAction
DecideSilence(const ProbeResult& aResult, bool aIsStream, unsigned aWaits);

// Calls aOnResult once.
void
ProbeServer(HttpClient& aClient,
            const Address& aServer,
            Duration aTimeout,
            std::function<void(ProbeResult)> aOnResult);

} // namespace sycamoreward
