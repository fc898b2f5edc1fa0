#pragma once

// Handles a backend server that sends no data: it is asked for its load on a
// new connection, which distinguishes a busy server from an unresponsive
// connection.

#include "base/Address.h"
#include "base/Clock.h"

#include <functional>

namespace sycamoreward {

class HttpClient;

struct ProbeResult
{
  // The server returned a load report on the new connection.
  bool isAnswered_ = false;
  // Requests that run and that wait at the server, from its load report.
  unsigned running_ = 0;
  unsigned waiting_ = 0;
};

// What to do with a silent attempt.
enum class SilenceAction
{
  // Keep waiting: the request may be queued or running at the server.
  Wait,
  // End the attempt: the connection or the server is unresponsive.
  EndAttempt
};

// Maximum number of silence timeouts to wait for a busy server. This bounds the
// wait on an unresponsive connection to a server that is busy with other
// requests.
constexpr unsigned kMaxSilenceWaits = 4;

// Decides from a probe's result. An engine streams whatever it runs, so only a
// request in its queue is silent, whereas a plain service is silent until its
// reply.
SilenceAction
DecideSilence(const ProbeResult& aResult, bool aIsStream, unsigned aWaits);

// Requests the server's load on a new connection. Calls aOnResult exactly once.
void
ProbeServer(HttpClient& aClient,
            const Address& aServer,
            Duration aTimeout,
            std::function<void(ProbeResult)> aOnResult);

} // namespace sycamoreward
