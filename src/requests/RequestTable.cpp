#include "requests/RequestTable.h"

#include "requests/TaskErrors.h"

namespace sycamoreward {

RequestTable::RequestTable(RequestContext& aContext,
                           const RequestTableBounds& aBounds)
  : context_(aContext)
  , bounds_(aBounds)
  , follower_(aContext,
              [this](const RequestId& aRequest) { return FindLog(aRequest); })
{
}

RequestTable::KeyMatch
RequestTable::FindByKey(const std::string& aKeyDigest) const
{
  const auto running = runningByKey_.find(aKeyDigest);
  if (running != runningByKey_.end()) {
    const auto task = FindRunning(running->second);
    return { task->Log(), task->Request().bodyDigest_ };
  }
  const auto finished = finishedByKey_.find(aKeyDigest);
  if (finished != finishedByKey_.end()) {
    return { finished->second.log_, finished->second.bodyDigest_ };
  }
  return {};
}

std::shared_ptr<AnswerLog>
RequestTable::FindLog(const RequestId& aRequest) const
{
  if (const auto task = FindRunning(aRequest)) {
    return task->Log();
  }
  const auto finished = finishedById_.find(aRequest);
  return finished != finishedById_.end() ? finished->second : nullptr;
}

std::shared_ptr<RequestTask>
RequestTable::FindRunning(const RequestId& aRequest) const
{
  const auto found = running_.find(aRequest);
  return found != running_.end() ? found->second : nullptr;
}

std::shared_ptr<AnswerLog>
RequestTable::Run(AcceptedRequest aRequest)
{
  const auto task = Add(std::move(aRequest));
  auto log = task->Log();
  try {
    task->Start();
  } catch (...) {
    Remove(task->Request().id_);
    throw;
  }
  return log;
}

void
RequestTable::Adopt(const HandOver& aMessage)
{
  if (running_.count(aMessage.request_) != 0) {
    return;
  }
  Add(AdoptRequest(context_, aMessage))->Adopt(aMessage);
}

std::shared_ptr<RequestTask>
RequestTable::Add(AcceptedRequest aRequest)
{
  const RequestId id = aRequest.id_;
  const std::string key = aRequest.keyDigest_;
  RequestTask::Hooks hooks;
  hooks.onEnded_ = [this, id] { HandleEnd(id); };
  hooks.onClaimConflict_ = [this, id](const RegisterReply& aReply) {
    HandleClaimConflict(id, aReply);
  };
  auto task = std::make_shared<RequestTask>(
    context_,
    std::move(aRequest),
    std::make_shared<AnswerLog>(id, context_.clients_),
    std::move(hooks));
  running_[id] = task;
  runningByKey_[key] = id;
  return task;
}

std::vector<std::shared_ptr<RequestTask>>
RequestTable::Running() const
{
  std::vector<std::shared_ptr<RequestTask>> tasks;
  tasks.reserve(running_.size());
  for (const auto& [id, task] : running_) {
    tasks.push_back(task);
  }
  return tasks;
}

void
RequestTable::HandleEnd(const RequestId& aRequest)
{
  const auto task = FindRunning(aRequest);
  if (task == nullptr) {
    return;
  }
  CacheFinished(*task);
  Remove(aRequest);
}

void
RequestTable::Remove(const RequestId& aRequest)
{
  const auto found = running_.find(aRequest);
  if (found == running_.end()) {
    return;
  }
  const auto byKey = runningByKey_.find(found->second->Request().keyDigest_);
  if (byKey != runningByKey_.end() && byKey->second == aRequest) {
    runningByKey_.erase(byKey);
  }
  running_.erase(found);
  if (running_.empty() && onIdle_) {
    const auto callback = onIdle_;
    callback();
  }
}

void
RequestTable::HandleClaimConflict(const RequestId& aRequest,
                                  const RegisterReply& aReply)
{
  const auto task = FindRunning(aRequest);
  if (task == nullptr) {
    return;
  }
  const auto log = task->Log();
  if (aReply.status_ == RegisterStatus::Running) {
    Remove(aRequest);
    follower_.Join(log, aReply.owner_, aReply.request_);
  } else if (aReply.status_ == RegisterStatus::Finished && aReply.outcome_) {
    ReplayFinished(task, aReply);
  } else {
    Remove(aRequest);
    log->Fail(KeyError(aReply));
  }
}

void
RequestTable::ReplayFinished(const std::shared_ptr<RequestTask>& aTask,
                             const RegisterReply& aReply)
{
  const auto log = aTask->Log();
  const Outcome& outcome = *aReply.outcome_;
  const bool isCompleted = outcome.kind_ == OutcomeKind::Completed;
  if (!outcome.answer_ && isCompleted && aTask->Request().isRepeatable_) {
    // The answer is no longer stored. The request is repeatable, so it is run
    // again.
    AcceptedRequest again = aTask->Request();
    Remove(again.id_);
    RequestTask::Hooks hooks;
    const RequestId id = again.id_;
    hooks.onEnded_ = [this, id] { HandleEnd(id); };
    running_[id] = std::make_shared<RequestTask>(
      context_, std::move(again), log, std::move(hooks));
    runningByKey_[aTask->Request().keyDigest_] = id;
    running_[id]->StartWithoutClaim();
    return;
  }
  Remove(aTask->Request().id_);
  log->SetRequest(aReply.request_);
  if (outcome.answer_) {
    log->SetHead(outcome.answer_->status_, outcome.answer_->contentType_);
    log->Append(outcome.answer_->body_);
    log->End("stop");
  } else {
    log->Fail(KeyError(aReply));
  }
}

void
RequestTable::CacheFinished(const RequestTask& aTask)
{
  const AcceptedRequest& request = aTask.Request();
  const auto& log = aTask.Log();
  const bool callerMayRetry = request.isKeyed_ || !request.isRepeatable_;
  if (!callerMayRetry || log->GetState() != AnswerLog::State::Complete ||
      finishedById_.count(request.id_) != 0) {
    return;
  }
  Finished entry{ request.id_, request.keyDigest_, request.bodyDigest_, log };
  finishedBytes_ += log->Size().Value();
  finishedById_[request.id_] = log;
  finishedByKey_[request.keyDigest_] = entry;
  finished_.push_back(std::move(entry));
  while (finished_.size() > kMaxFinished ||
         finishedBytes_ > bounds_.finishedBytes_) {
    const Finished& oldest = finished_.front();
    finishedBytes_ -= oldest.log_->Size().Value();
    finishedById_.erase(oldest.request_);
    const auto byKey = finishedByKey_.find(oldest.keyDigest_);
    if (byKey != finishedByKey_.end() &&
        byKey->second.request_ == oldest.request_) {
      finishedByKey_.erase(byKey);
    }
    finished_.pop_front();
  }
}

} // namespace sycamoreward
