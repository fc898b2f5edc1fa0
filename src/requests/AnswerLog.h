#pragma once

// The answer of one request as far as it is known here. A task, or a stream
// from another instance, writes it; any number of callers and peers read it,
// each at its own pace.

#include "base/Ids.h"
#include "base/Units.h"
#include "requests/CallerError.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

class AnswerLog
{
public:
  enum class State
  {
    Open,
    // All parts are here.
    Complete,
    // error_ says why there is no answer, or no rest of it.
    Failed,
    // The request goes on elsewhere; connections are cut without an end mark.
    Moved
  };
  using ObserverId = std::uint64_t;

  explicit AnswerLog(RequestId aRequest)
    : request_(std::move(aRequest))
  {
  }

  // The request that the answer belongs to. It changes when a request turns out
  // to repeat an earlier one.
  const RequestId& Request() const { return request_; }
  void SetRequest(RequestId aRequest) { request_ = std::move(aRequest); }

  // Writers. Observers are called by Notify and by the three endings only, so
  // that parts that arrive together are sent together.
  void SetHead(int aStatus, std::string aContentType);
  void Append(std::string aPart);
  void Notify();
  void End(std::string aFinishReason);
  void Fail(CallerError aError);
  void MarkMoved();

  // Readers.
  State GetState() const { return state_; }
  int Status() const { return status_; }
  const std::string& ContentType() const { return contentType_; }
  const std::vector<std::string>& Parts() const { return parts_; }
  Bytes Size() const { return Bytes(size_); }
  const std::string& FinishReason() const { return finishReason_; }
  const CallerError& Error() const { return error_; }
  std::string Text() const;

  ObserverId AddObserver(std::function<void()> aObserver);
  // Ends the observation. The last one to go calls the abandon callback.
  void RemoveObserver(ObserverId aObserver);
  // Says whether an observer can't take more parts now.
  void SetLagging(ObserverId aObserver, bool aIsLagging);

  // Called when the last observer has gone while the answer is open.
  void OnAbandoned(std::function<void()> aCallback);
  // Called with true when all observers are behind, with false when one has
  // caught up.
  void OnFlow(std::function<void(bool aIsBlocked)> aCallback);

private:
  struct Observer
  {
    // Shared, because an observer may end its own observation while it runs.
    std::shared_ptr<const std::function<void()>> callback_;
    bool isLagging_ = false;
  };

  void Finish(State aState);
  void UpdateFlow();

  RequestId request_;
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
