#pragma once

// Streams the answer of a request that another instance owns, and serves
// answers of own requests to other instances.

#include "requests/AnswerLog.h"
#include "requests/RequestContext.h"

#include <functional>
#include <memory>

namespace sycamoreward {

// Sends and receives answers between instances.
class Follower
{
public:
  // Returns the answer of a request that this instance owns, or null when there
  // is none.
  using Finder =
    std::function<std::shared_ptr<AnswerLog>(const RequestId& aRequest)>;

  // Registers the handler of Follow messages.
  Follower(RequestContext& aContext, Finder aFinder);

  // Streams the answer of aRequest from aOwner into aLog. If the stream ends
  // early, the log fails, or is marked as moved when the request was handed
  // over.
  void Join(const std::shared_ptr<AnswerLog>& aLog,
            const InstanceId& aOwner,
            const RequestId& aRequest);

private:
  RequestContext& context_;
};

} // namespace sycamoreward
