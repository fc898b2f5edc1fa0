#pragma once

// The requests that this instance owns, by request id and by key: running ones,
// and a bounded cache of finished answers. The cache also holds answers of
// unrepeatable requests, since their record becomes durable only after the
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

struct RequestTableBounds
{
  // Number of running requests at which new ones are rejected.
  std::size_t running_ = 4096;
  // Maximum size of the finished answers in the cache.
  std::uint64_t finishedBytes_ = 64 * 1024 * 1024;
};

// Owns the request tasks of an instance.
class RequestTable
{
public:
  // Maximum number of finished answers in the cache.
  static constexpr std::size_t kMaxFinished = 4096;

  RequestTable(RequestContext& aContext, const RequestTableBounds& aBounds);

  // The running or finished answer for a key.
  struct KeyMatch
  {
    std::shared_ptr<AnswerLog> log_;
    std::string bodyDigest_;
  };
  // Looks up a key. log_ is null when the key is not known here.
  KeyMatch FindByKey(const std::string& aKeyDigest) const;

  // Return null when the request is not known here.
  std::shared_ptr<AnswerLog> FindLog(const RequestId& aRequest) const;
  std::shared_ptr<RequestTask> FindRunning(const RequestId& aRequest) const;

  // Starts a request. If the ledger reports another request with the same key,
  // the returned log receives the answer of that request.
  std::shared_ptr<AnswerLog> Run(AcceptedRequest aRequest);

  // Continues a request that another instance hands over. Does nothing when it
  // already runs here. Throws RequestRefused when its service is not known
  // here.
  void Adopt(const HandOver& aMessage);

  std::vector<std::shared_ptr<RequestTask>> Running() const;
  std::size_t Size() const { return running_.size(); }
  // Whether no further request may be started.
  bool IsFull() const { return running_.size() >= bounds_.running_; }

  // Sets the callback that runs each time the last running request has ended.
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
  // Finished answers, oldest first, in order of eviction.
  std::deque<Finished> finished_;
  std::map<std::string, Finished> finishedByKey_;
  std::map<RequestId, std::shared_ptr<AnswerLog>> finishedById_;
  RequestTableBounds bounds_;
  std::uint64_t finishedBytes_ = 0;
  std::function<void()> onIdle_;
  Follower follower_;
};

} // namespace sycamoreward
