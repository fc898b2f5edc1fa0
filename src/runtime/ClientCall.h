#pragma once

// Implements a call of HttpClient by one evhttp request.

#include "runtime/ClosingCheck.h"
#include "runtime/HttpClient.h"
#include "runtime/HttpClientState.h"

#include <event2/bufferevent.h>

#include <memory>
#include <utility>

struct evhttp_connection;
struct evhttp_request;

namespace sycamoreward {

class ClientCall final : public HttpCall
{
public:
  ClientCall(std::weak_ptr<HttpClient::State> aState,
             const HttpClientRequest& aRequest,
             HttpCallbacks aCallbacks)
    : state_(std::move(aState))
    , request_(aRequest)
    , callbacks_(std::move(aCallbacks))
  {
  }

  // Takes a connection and sends the request.
  void Begin();
  void Cancel() override;
  void PauseReading() override;
  void ResumeReading() override;
  // Ends the call without a callback because the client is being destroyed.
  // Returns the connection, which the caller must free; null if there is none.
  evhttp_connection* Detach();

private:
  void MarkConnected();
  void HandleHead(evhttp_request* aRequest);
  void HandleData(evhttp_request* aRequest);
  void HandleDone(evhttp_request* aRequest);
  void ArmSilenceTimer(Duration aDelay);
  void CheckSilence();
  void Finish(HttpEnd aEnd, bool aIsReusable);
  // Takes the end of the connection from evhttp, which ends the reply at once.
  void WatchClosing();
  // Gives the connection back to evhttp, before this object ends.
  void StopWatchingClosing();
  // Decides whether a reply that ended with its connection is complete, or
  // looks again later.
  void CheckClosing();
  void CancelTimers(EventLoop& aLoop);
  bool IsConnected() const;

  std::weak_ptr<HttpClient::State> state_;
  HttpClientRequest request_;
  HttpCallbacks callbacks_;
  evhttp_connection* connection_ = nullptr;
  EventLoop::TimerId silenceTimer_ = 0;
  EventLoop::TimerId closingTimer_ = 0;
  ClosingState closing_;
  // The callbacks of evhttp for the connection, and their argument.
  bufferevent_data_cb evhttpOnRead_ = nullptr;
  bufferevent_data_cb evhttpOnWrite_ = nullptr;
  bufferevent_event_cb evhttpOnEvent_ = nullptr;
  void* evhttpArgument_ = nullptr;
  MonotonicTime lastByte_{};
  bool wasConnected_ = false;
  bool hasHead_ = false;
  bool isPaused_ = false;
  bool isDone_ = false;
};

} // namespace sycamoreward
