#include "requests/AnswerLog.h"

#include <algorithm>

namespace sycamoreward {

void
AnswerLog::SetHead(int aStatus, std::string aContentType)
{
  status_ = aStatus;
  contentType_ = std::move(aContentType);
}

void
AnswerLog::Append(std::string aPart)
{
  if (state_ != State::Open) {
    return;
  }
  size_ += aPart.size();
  parts_.push_back(std::move(aPart));
  charge_.Set(size_ + parts_.capacity() * sizeof(std::string));
}

void
AnswerLog::Notify()
{
  if (observers_.size() == 1) {
    const auto callback = observers_.begin()->second.callback_;
    (*callback)();
    return;
  }
  std::vector<ObserverId> ids;
  ids.reserve(observers_.size());
  for (const auto& [id, observer] : observers_) {
    ids.push_back(id);
  }
  for (const ObserverId id : ids) {
    const auto found = observers_.find(id);
    if (found != observers_.end()) {
      const auto callback = found->second.callback_;
      (*callback)();
    }
  }
}

void
AnswerLog::End(std::string aFinishReason)
{
  finishReason_ = std::move(aFinishReason);
  Finish(State::Complete);
}

void
AnswerLog::Fail(CallerError aError)
{
  if (state_ == State::Open) {
    error_ = std::move(aError);
  }
  Finish(State::Failed);
}

void
AnswerLog::MarkMoved()
{
  Finish(State::Moved);
}

void
AnswerLog::Finish(State aState)
{
  if (state_ != State::Open) {
    return;
  }
  state_ = aState;
  onAbandoned_ = nullptr;
  onFlow_ = nullptr;
  Notify();
}

std::string
AnswerLog::Text() const
{
  std::string text;
  text.reserve(size_);
  for (const std::string& part : parts_) {
    text += part;
  }
  return text;
}

AnswerLog::ObserverId
AnswerLog::AddObserver(std::function<void()> aObserver)
{
  const ObserverId id = nextObserver_++;
  observers_.emplace(id,
                     Observer{ std::make_shared<const std::function<void()>>(
                                 std::move(aObserver)),
                               false });
  UpdateFlow();
  return id;
}

void
AnswerLog::RemoveObserver(ObserverId aObserver)
{
  const auto found = observers_.find(aObserver);
  if (found == observers_.end()) {
    return;
  }
  // Destroyed at the end of this function only, since it may hold the last
  // reference to the observer that calls it.
  const Observer removed = std::move(found->second);
  observers_.erase(found);
  UpdateFlow();
  if (observers_.empty() && onAbandoned_) {
    const auto callback = onAbandoned_;
    callback();
  }
}

void
AnswerLog::SetLagging(ObserverId aObserver, bool aIsLagging)
{
  const auto found = observers_.find(aObserver);
  if (found != observers_.end()) {
    found->second.isLagging_ = aIsLagging;
    UpdateFlow();
  }
}

void
AnswerLog::UpdateFlow()
{
  const bool isBlocked =
    !observers_.empty() &&
    std::all_of(observers_.begin(), observers_.end(), [](const auto& aEntry) {
      return aEntry.second.isLagging_;
    });
  if (isBlocked != isBlocked_) {
    isBlocked_ = isBlocked;
    if (onFlow_) {
      const auto callback = onFlow_;
      callback(isBlocked);
    }
  }
}

void
AnswerLog::OnAbandoned(std::function<void()> aCallback)
{
  onAbandoned_ = std::move(aCallback);
}

void
AnswerLog::OnFlow(std::function<void(bool aIsBlocked)> aCallback)
{
  onFlow_ = std::move(aCallback);
}

} // namespace sycamoreward
