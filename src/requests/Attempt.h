#pragma once

// One call to a backend server: either a stream of engine events, or a reply
// that is buffered until it is complete.

#include "base/Units.h"
#include "recovery/SseParser.h"
#include "requests/ModelCall.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

// The result of an attempt.
struct AttemptReply
{
  HttpEnd end_ = HttpEnd::NotConnected;
  int status_ = 0;
  HttpHeaders headers_;
  // Empty for an event stream.
  std::string body_;
};

struct AttemptCallbacks
{
  // Receives events that arrived together, in order.
  std::function<void(std::vector<EngineEvent>)> onEvents_;
  // Called exactly once, as the last callback, unless the attempt was
  // cancelled.
  std::function<void(AttemptReply)> onEnd_;
};

// Runs one call to a backend server and detects when the server stops sending.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
  // Maximum size of a buffered body, in bytes. A longer one ends the attempt as
  // broken.
  static constexpr std::uint64_t kMaxBodyBytes = 8 * 1024 * 1024;

  // aMaxGap is the maximum time without data after the first event of a stream.
  // Until then the silence timeout of aRequest applies; when it expires, the
  // server is probed on a new connection before the attempt ends as silent.
  Attempt(EventLoop& aLoop,
          HttpClient& aClient,
          HttpClientRequest aRequest,
          Duration aMaxGap,
          AttemptCallbacks aCallbacks);

  // Starts the call, which keeps this object alive until it ends.
  void Start();

  // Closes the connection. No callback is called afterwards.
  void Cancel();

  // While paused, the connection is not read and no callback is called.
  void SetPaused(bool aIsPaused);

private:
  void HandleHead(int aStatus, const HttpHeaders& aHeaders);
  void HandleData(std::string_view aData);
  void HandleEnd(HttpEnd aEnd);
  void AbortCall(HttpEnd aEnd);
  void ArmGapTimer();
  void ArmSilenceTimer(Duration aDelay);
  void Probe();
  void PostFlush();
  void Flush();

  EventLoop& loop_;
  HttpClient& client_;
  HttpClientRequest request_;
  Duration firstByteTimeout_;
  Duration maxGap_;
  AttemptCallbacks callbacks_;
  MonotonicTime lastData_{};
  EventLoop::TimerId gapTimer_ = 0;
  // Runs until the first event of a stream, or until the end of a plain reply.
  EventLoop::TimerId silenceTimer_ = 0;
  unsigned silenceWaits_ = 0;
  std::shared_ptr<HttpCall> call_;
  SseParser parser_;
  AttemptReply reply_;
  std::vector<EngineEvent> pending_;
  bool isStream_ = false;
  bool isEnded_ = false;
  bool isPaused_ = false;
  bool isDone_ = false;
  bool isFlushPosted_ = false;
};

} // namespace sycamoreward
