#pragma once

// The part of a request's answer that this instance has received so far. A
// task, or a stream from another instance, writes the log; any number of
// callers and peers read it, each at its own pace.

#include "base/Ids.h"
#include "base/Units.h"
#include "limits/ClientAccounts.h"
#include "requests/CallerError.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

// Append-only buffer for the answer of one request. Observers are notified when
// it grows or ends.
class AnswerLog
{
public:
  enum class State
  {
    Open,
    // All parts have been received.
    Complete,
    // error_ tells why the answer, or the rest of it, is missing.
    Failed,
    // The request continues on another instance. Caller connections are closed
    // without an end mark.
    Moved
  };
  using ObserverId = std::uint64_t;

  // aClients accounts for the parts as long as they are kept; may be null.
  explicit AnswerLog(RequestId aRequest,
                     std::shared_ptr<ClientAccounts> aClients = nullptr)
    : request_(std::move(aRequest))
    , charge_(std::move(aClients))
  {
  }

  // The request that the answer belongs to. The id changes when the request
  // turns out to repeat an earlier one.
  const RequestId& Request() const { return request_; }
  void SetRequest(RequestId aRequest) { request_ = std::move(aRequest); }

  // Writer interface. Only Notify, End, Fail and MarkMoved call observers, so
  // that parts that arrive together are sent together.
  void SetHead(int aStatus, std::string aContentType);
  void Append(std::string aPart);
  void Notify();
  void End(std::string aFinishReason);
  void Fail(CallerError aError);
  void MarkMoved();

  // Reader interface.
  State GetState() const { return state_; }
  int Status() const { return status_; }
  const std::string& ContentType() const { return contentType_; }
  const std::vector<std::string>& Parts() const { return parts_; }
  Bytes Size() const { return Bytes(size_); }
  const std::string& FinishReason() const { return finishReason_; }
  const CallerError& Error() const { return error_; }
  // Returns all parts, concatenated.
  std::string Text() const;

  // Registers a callback that runs when parts were added or the answer ended.
  ObserverId AddObserver(std::function<void()> aObserver);
  // Unregisters an observer. Removing the last one calls the OnAbandoned
  // callback.
  void RemoveObserver(ObserverId aObserver);
  // Sets whether an observer's send buffer is full, so that it cannot accept
  // more parts.
  void SetLagging(ObserverId aObserver, bool aIsLagging);

  // Sets the callback that runs when the last observer is removed while the
  // answer is open.
  void OnAbandoned(std::function<void()> aCallback);
  // Sets the backpressure callback: called with true when all observers are
  // lagging, and with false when at least one has caught up.
  void OnFlow(std::function<void(bool aIsBlocked)> aCallback);

private:
  struct Observer
  {
    // Shared, because an observer may unregister itself from within its
    // callback.
    std::shared_ptr<const std::function<void()>> callback_;
    bool isLagging_ = false;
  };

  void Finish(State aState);
  void UpdateFlow();

  RequestId request_;
  ClientCharge charge_;
  State state_ = State::Open;
  int status_ = 200;
  std::string contentType_;
  std::vector<std::string> parts_;
  std::uint64_t size_ = 0;
  std::string finishReason_;
  CallerError error_;
  std::map<ObserverId, Observer> observers_;
  ObserverId nextObserver_ = 1;
  bool isBlocked_ = false;
  std::function<void()> onAbandoned_;
  std::function<void(bool)> onFlow_;
};

} // namespace sycamoreward
