#pragma once

// Joins an answer that another instance owns, and serves own answers to other
// instances.

#include "requests/AnswerLog.h"
#include "requests/RequestContext.h"

#include <functional>
#include <memory>

namespace sycamoreward {

class Follower
{
public:
  // Finds the answer of a request that this instance owns; null when there is
  // none.
  using Finder =
    std::function<std::shared_ptr<AnswerLog>(const RequestId& aRequest)>;

  // Answers Follow messages from now on.
  Follower(RequestContext& aContext, Finder aFinder);

  // Fills aLog with the answer of aRequest from aOwner. A stream that ends
  // early fails the log, or cuts it when the request has moved.
  void Join(const std::shared_ptr<AnswerLog>& aLog,
            const InstanceId& aOwner,
            const RequestId& aRequest);

private:
  RequestContext& context_;
};

} // namespace sycamoreward
