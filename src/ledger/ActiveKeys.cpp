#include "ledger/ActiveKeys.h"

namespace sycamoreward {

namespace {

std::string
FullKey(const RegisterRequest& aRequest)
{
  return aRequest.workspace_.Value() + "\n" + aRequest.service_.Value() + "\n" +
         aRequest.keyDigest_;
}

void
InsertActive(ActiveKeys& aKeys,
             const std::string& aName,
             const RegisterRequest& aRequest,
             Incarnation aIncarnation)
{
  const auto old = aKeys.byKey_.find(aName);
  if (old != aKeys.byKey_.end()) {
    aKeys.keyByRequest_.erase(old->second.request_.request_);
  } else if (aKeys.byKey_.size() >= kMaxActiveKeys) {
    return;
  }
  aKeys.byKey_[aName] = { aRequest, aIncarnation, std::nullopt };
  aKeys.keyByRequest_[aRequest.request_] = aName;
}

bool
IsKeyFree(const ActiveKey& aHolder, bool aIsHolderDead)
{
  return aHolder.outcome_ ? aHolder.outcome_->kind_ == OutcomeKind::NotRun
                          : aIsHolderDead;
}

} // namespace

const ActiveKey*
FindActive(const ActiveKeys& aKeys, const RegisterRequest& aRequest)
{
  const auto found = aKeys.byKey_.find(FullKey(aRequest));
  return found == aKeys.byKey_.end() ? nullptr : &found->second;
}

RegisterReply
RegisterActive(ActiveKeys& aKeys,
               const RegisterRequest& aRequest,
               Incarnation aIncarnation,
               bool aIsHolderDead)
{
  RegisterReply reply;
  const ActiveKey* holder = FindActive(aKeys, aRequest);
  // After a handover, the successor registers the same request with itself as
  // the owner.
  const bool isOwn = holder != nullptr && !holder->outcome_ &&
                     holder->request_.request_ == aRequest.request_;
  if (holder == nullptr || isOwn || IsKeyFree(*holder, aIsHolderDead)) {
    InsertActive(aKeys, FullKey(aRequest), aRequest, aIncarnation);
    reply.status_ = RegisterStatus::Granted;
    reply.request_ = aRequest.request_;
    reply.owner_ = aRequest.owner_;
    return reply;
  }
  if (holder->request_.bodyDigest_ != aRequest.bodyDigest_) {
    reply.status_ = RegisterStatus::BodyMismatch;
    return reply;
  }
  reply.status_ =
    holder->outcome_ ? RegisterStatus::Finished : RegisterStatus::Running;
  reply.request_ = holder->request_.request_;
  reply.owner_ = holder->request_.owner_;
  reply.outcome_ = holder->outcome_;
  return reply;
}

void
SetActiveOutcome(ActiveKeys& aKeys, const Outcome& aOutcome)
{
  const auto name = aKeys.keyByRequest_.find(aOutcome.request_);
  if (name != aKeys.keyByRequest_.end()) {
    aKeys.byKey_[name->second].outcome_ = aOutcome;
  }
}

void
RemoveActive(ActiveKeys& aKeys, const RequestId& aRequest)
{
  const auto name = aKeys.keyByRequest_.find(aRequest);
  if (name != aKeys.keyByRequest_.end()) {
    aKeys.byKey_.erase(name->second);
    aKeys.keyByRequest_.erase(name);
  }
}

} // namespace sycamoreward
