#pragma once

// An in-memory ledger. Tests can set its reply to registrations.

#include "ledger/Ledger.h"
#include "runtime/EventLoop.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamoreward {

class FakeLedger final : public Ledger
{
public:
  explicit FakeLedger(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  RequestId MakeRequestId(const RegionId& aRegion,
                          const WorkspaceId&,
                          const ServiceName&,
                          const std::string&) override
  {
    return RequestId(aRegion.Value() + ".0." + std::to_string(next_++));
  }

  void Register(const RegisterRequest& aRequest,
                Duration,
                std::function<void(RegisterReply)> aOnReply) override
  {
    registered_.push_back(aRequest);
    RegisterReply reply;
    if (forcedReply_) {
      reply = *forcedReply_;
    } else {
      const auto found = byKey_.find(aRequest.keyDigest_);
      if (found == byKey_.end() ||
          found->second.request_ == aRequest.request_) {
        byKey_[aRequest.keyDigest_] = aRequest;
        reply.status_ = RegisterStatus::Granted;
      } else {
        reply = ReplyForUsedKey(aRequest, found->second);
      }
    }
    loop_.Post([aOnReply, reply] { aOnReply(reply); });
  }

  void Record(const Outcome& aOutcome, std::function<void()>) override
  {
    outcomes_.push_back(aOutcome);
  }
  bool HasBufferSpace() const override { return hasBufferSpace_; }
  void Lookup(const RequestId& aRequest,
              std::function<void(LookupReply)> aOnReply) override
  {
    LookupReply reply;
    for (const Outcome& outcome : outcomes_) {
      if (outcome.request_ == aRequest) {
        reply.outcome_ = outcome;
      }
    }
    loop_.Post([aOnReply, reply] { aOnReply(reply); });
  }

  // When set, the reply to every registration.
  std::optional<RegisterReply> forcedReply_;
  bool hasBufferSpace_ = true;
  std::vector<RegisterRequest> registered_;
  std::vector<Outcome> outcomes_;

private:
  RegisterReply ReplyForUsedKey(const RegisterRequest& aRequest,
                                const RegisterRequest& aHolder) const
  {
    RegisterReply reply;
    reply.request_ = aHolder.request_;
    reply.owner_ = aHolder.owner_;
    reply.status_ = RegisterStatus::Running;
    if (aHolder.bodyDigest_ != aRequest.bodyDigest_) {
      reply.status_ = RegisterStatus::BodyMismatch;
    }
    for (const Outcome& outcome : outcomes_) {
      if (outcome.request_ == aHolder.request_ &&
          reply.status_ == RegisterStatus::Running) {
        reply.status_ = RegisterStatus::Finished;
        reply.outcome_ = outcome;
      }
    }
    return reply;
  }

  EventLoop& loop_;
  std::uint64_t next_ = 1;
  std::map<std::string, RegisterRequest> byKey_;
};

} // namespace sycamoreward
