#pragma once

// The requests that this instance owns: running ones, and finished answers in a
// bounded cache, by request id and by key. The cache has answers of
// unrepeatable requests too, since their record becomes durable only after the
// reply.

#include "requests/AcceptedRequest.h"
#include "requests/AnswerLog.h"
#include "requests/Follower.h"
#include "requests/RequestContext.h"
#include "requests/RequestTask.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

class RequestTable
{
public:
  // Bounds of the cache of finished answers.
  static constexpr std::size_t kMaxFinished = 4096;
  static constexpr std::uint64_t kMaxFinishedBytes = 64 * 1024 * 1024;
  // Running requests above which new ones are refused.
  static constexpr std::size_t kMaxRunning = 4096;

  explicit RequestTable(RequestContext& aContext);

  // An answer, running or finished, that a key has here.
  struct KeyMatch
  {
    std::shared_ptr<AnswerLog> log_;
    std::string bodyDigest_;
  };
  // log_ is null when the key is not known here.
  KeyMatch FindByKey(const std::string& aKeyDigest) const;

  // Null when the request is not known here.
  std::shared_ptr<AnswerLog> FindLog(const RequestId& aRequest) const;
  std::shared_ptr<RequestTask> FindRunning(const RequestId& aRequest) const;

  // Runs a request, or joins the one that has its key.
  std::shared_ptr<AnswerLog> Run(AcceptedRequest aRequest);

  // Continues a request of another instance. No effect when it runs here
  // already. Throws RequestRefused when its service is not known here.
  void Adopt(const HandOver& aMessage);

  std::vector<std::shared_ptr<RequestTask>> Running() const;
  std::size_t Size() const { return running_.size(); }

  // Calls aCallback each time the last running request has ended.
  void OnIdle(std::function<void()> aCallback)
  {
    onIdle_ = std::move(aCallback);
  }

private:
  std::shared_ptr<RequestTask> Add(AcceptedRequest aRequest);
  void HandleEnd(const RequestId& aRequest);
  void Remove(const RequestId& aRequest);
  void HandleClaimConflict(const RequestId& aRequest,
                           const RegisterReply& aReply);
  void ReplayFinished(const std::shared_ptr<RequestTask>& aTask,
                      const RegisterReply& aReply);
  void CacheFinished(const RequestTask& aTask);

  struct Finished
  {
    RequestId request_;
    std::string keyDigest_;
    std::string bodyDigest_;
    std::shared_ptr<AnswerLog> log_;
  };

  RequestContext& context_;
  std::map<RequestId, std::shared_ptr<RequestTask>> running_;
  std::map<std::string, RequestId> runningByKey_;
  // Oldest first.
  std::deque<Finished> finished_;
  std::map<std::string, Finished> finishedByKey_;
  std::map<RequestId, std::shared_ptr<AnswerLog>> finishedById_;
  std::uint64_t finishedBytes_ = 0;
  std::function<void()> onIdle_;
  Follower follower_;
};

} // namespace sycamoreward
