#pragma once

// One call to a backend server: an engine's stream of events, or a reply that
// is gathered whole.

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

// How an attempt ended.
struct AttemptReply
{
  HttpEnd end_ = HttpEnd::NotConnected;
  int status_ = 0;
  HttpHeaders headers_;
  // Empty for a stream of events.
  std::string body_;
};

struct AttemptCallbacks
{
  // Events that arrived together, in order.
  std::function<void(std::vector<EngineEvent>)> onEvents_;
  // Called once, last, unless the attempt was cancelled.
  std::function<void(AttemptReply)> onEnd_;
};

class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
  // Longest body that is gathered. A longer one ends the attempt as broken.
  static constexpr std::uint64_t kMaxBodyBytes = 8 * 1024 * 1024;

  // aMaxGap is the longest time without data after the first event of a
  // stream. The silence timeout of aRequest holds before it; then the server is
  // probed on a new connection before the attempt ends as silent.
  Attempt(EventLoop& aLoop,
          HttpClient& aClient,
          HttpClientRequest aRequest,
          Duration aMaxGap,
          AttemptCallbacks aCallbacks);

  // Starts the call. It keeps this object until its end.
  void Start();

  // Cuts the connection. No callback follows.
  void Cancel();

  // While held, the connection is not read and no callback is called.
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
  // Before the first event of a stream, and until the end of a plain reply.
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
