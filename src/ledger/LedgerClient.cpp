#include "ledger/LedgerClient.h"

#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward {

namespace {

// Above this, requests are not registered again with a new registrar.
constexpr std::size_t kMaxActive = 100000;
constexpr Duration kRetryWait = std::chrono::milliseconds(25);
// Longest wait for one registrar, after which the members are looked at again.
constexpr Duration kTryTimeout = std::chrono::seconds(2);
constexpr Duration kBatchWait = std::chrono::milliseconds(10);
constexpr Duration kAgainTimeout = std::chrono::seconds(2);

} // namespace

struct LedgerClient::Attempt
{
  RegisterRequest request_;
  MonotonicTime deadline_;
  std::function<void(RegisterReply)> onReply_;
  InstanceId registrar_;
  EventLoop::TimerId timer_ = 0;
  unsigned sends_ = 0;
  bool isDone_ = false;
};

LedgerClient::LedgerClient(EventLoop& aLoop,
                           Membership& aMembership,
                           PeerNetwork& aPeers,
                           Registrar* aLocal,
                           std::function<std::uint64_t()> aRandom,
                           LedgerClientOptions aOptions)
  : loop_(aLoop)
  , membership_(aMembership)
  , peers_(aPeers)
  , local_(aLocal)
  , random_(std::move(aRandom))
  , options_(aOptions)
{
  membership_.OnChange(Guard([this] {
    // After all observers, so that the local registrar knows its duties.
    loop_.Post(Guard([this] { RegisterAgain(); }));
  }));
}

LedgerClient::~LedgerClient()
{
  *isAlive_ = false;
}

RequestId
LedgerClient::MakeRequestId(const RegionId& aRegion,
                            const WorkspaceId& aWorkspace,
                            const ServiceName& aService,
                            const std::string& aKeyDigest)
{
  const std::string random = HexOf(random_()) + HexOf(random_());
  const std::string& key = aKeyDigest.empty() ? random : aKeyDigest;
  return FormatRequestId(ChoosePartition(aRegion, aWorkspace, aService, key),
                         random);
}

std::optional<PeerIdentity>
LedgerClient::FindRegistrar(const RequestId& aRequest) const
{
  const LedgerPartition partition = ParsePartition(aRequest);
  const MemberList& members = membership_.Members();
  const auto ranked =
    RankForDuty(members, PartitionName(partition), partition.region_);
  for (const Member& member : members.members_) {
    if (!ranked.empty() && member.identity_.instance_ == ranked.front()) {
      return member.identity_;
    }
  }
  return std::nullopt;
}

bool
LedgerClient::IsLocal(const PeerIdentity& aRegistrar) const
{
  return local_ != nullptr &&
         aRegistrar.instance_ == membership_.Members().self_;
}

Incarnation
LedgerClient::OwnIncarnation() const
{
  const MemberList& members = membership_.Members();
  for (const Member& member : members.members_) {
    if (member.identity_.instance_ == members.self_) {
      return member.identity_.incarnation_;
    }
  }
  return Incarnation(0);
}

// Registrations.

void
LedgerClient::Register(const RegisterRequest& aRequest,
                       Duration aLimit,
                       std::function<void(RegisterReply)> aOnReply)
{
  CheckRequestId(aRequest);
  auto attempt = std::make_shared<Attempt>();
  attempt->request_ = aRequest;
  attempt->deadline_ = loop_.GetClock().Now() + aLimit;
  attempt->onReply_ = std::move(aOnReply);
  attempt->timer_ =
    loop_.CallAfter(aLimit, Guard([this, attempt] { Finish(attempt, {}); }));
  Try(attempt);
}

void
LedgerClient::Try(std::shared_ptr<Attempt> aAttempt)
{
  if (aAttempt->isDone_) {
    return;
  }
  const auto registrar = FindRegistrar(aAttempt->request_.request_);
  if (!registrar) {
    OnRegistered(aAttempt, {});
    return;
  }
  ++aAttempt->sends_;
  aAttempt->registrar_ = registrar->instance_;
  if (IsLocal(*registrar)) {
    local_->ServeRegister(aAttempt->request_,
                          OwnIncarnation(),
                          Guard([this, aAttempt](const RegisterReply& aReply) {
                            loop_.Post(Guard([this, aAttempt, aReply] {
                              OnRegistered(aAttempt, aReply);
                            }));
                          }));
    return;
  }
  const Duration left = aAttempt->deadline_ - loop_.GetClock().Now();
  peers_.Call(
    *registrar,
    sycamoreward::Register{ aAttempt->request_ },
    std::min(left, kTryTimeout),
    Guard([this, aAttempt](const PeerReply& aReply) {
      const auto* registered =
        aReply.message_ ? std::get_if<Registered>(&*aReply.message_) : nullptr;
      OnRegistered(
        aAttempt, registered != nullptr ? registered->reply_ : RegisterReply{});
    }));
}

void
LedgerClient::OnRegistered(const std::shared_ptr<Attempt>& aAttempt,
                           const RegisterReply& aReply)
{
  if (aAttempt->isDone_) {
    return;
  }
  if (aReply.status_ == RegisterStatus::Unavailable) {
    loop_.CallAfter(kRetryWait, Guard([this, aAttempt] { Try(aAttempt); }));
    return;
  }
  Finish(aAttempt, aReply);
}

void
LedgerClient::Finish(const std::shared_ptr<Attempt>& aAttempt,
                     RegisterReply aReply)
{
  if (std::exchange(aAttempt->isDone_, true)) {
    return;
  }
  loop_.CancelTimer(aAttempt->timer_);
  const RegisterRequest& request = aAttempt->request_;
  if (request.isDurable_) {
    WithdrawStray(*aAttempt, aReply);
  } else if (!request.keyDigest_.empty() && active_.size() < kMaxActive &&
             (aReply.status_ == RegisterStatus::Granted ||
              aReply.status_ == RegisterStatus::Unavailable)) {
    // Without a reply the registrar is not known to have it.
    const bool isKnown = aReply.status_ == RegisterStatus::Granted;
    active_[request.request_] = { request,
                                  isKnown ? aAttempt->registrar_
                                          : InstanceId() };
  }
  if (NeedsAnswer(request, aReply)) {
    FetchAnswer(std::move(aReply), std::move(aAttempt->onReply_));
  } else {
    aAttempt->onReply_(std::move(aReply));
  }
}

// A claim that was sent to several registrars can take effect late, when the
// request that holds the key now is withdrawn. Nobody would end it then.
void
LedgerClient::WithdrawStray(const Attempt& aAttempt,
                            const RegisterReply& aReply)
{
  const RegisterRequest& request = aAttempt.request_;
  if (aAttempt.sends_ < 2 || aReply.request_ == request.request_ ||
      aReply.status_ == RegisterStatus::Granted ||
      aReply.status_ == RegisterStatus::Unavailable) {
    return;
  }
  Outcome outcome;
  outcome.request_ = request.request_;
  outcome.workspace_ = request.workspace_;
  outcome.service_ = request.service_;
  outcome.keyDigest_ = request.keyDigest_;
  outcome.bodyDigest_ = request.bodyDigest_;
  outcome.kind_ = OutcomeKind::NotRun;
  outcome.accepted_ = outcome.ended_ = loop_.GetClock().Wall();
  outcome.evidence_ = "another request holds the key";
  Record(outcome, {});
}

void
LedgerClient::RegisterAgain()
{
  for (auto& entry : active_) {
    Active& active = entry.second;
    const auto registrar = FindRegistrar(entry.first);
    if (!registrar || registrar->instance_ == active.registrar_) {
      continue;
    }
    active.registrar_ = registrar->instance_;
    if (IsLocal(*registrar)) {
      local_->ServeRegister(
        active.request_, OwnIncarnation(), [](const RegisterReply&) {});
    } else {
      const RequestId request = entry.first;
      peers_.Call(*registrar,
                  sycamoreward::Register{ active.request_ },
                  kAgainTimeout,
                  Guard([this, request](const PeerReply& aReply) {
                    const auto found = active_.find(request);
                    if (!aReply.message_ && found != active_.end()) {
                      found->second.registrar_ = InstanceId();
                    }
                  }));
    }
  }
  if (!unsent_.empty()) {
    ScheduleSend(kBatchWait);
  }
}

void
LedgerClient::Lookup(const RequestId& aRequest,
                     std::function<void(LookupReply)> aOnReply)
{
  const auto registrar = FindRegistrar(aRequest);
  const auto buffered = buffer_.find(aRequest);
  if (buffered != buffer_.end()) {
    aOnReply({ buffered->second.outcome_, "" });
  } else if (!registrar) {
    aOnReply({ std::nullopt, "No instance of the request's region is known." });
  } else if (IsLocal(*registrar)) {
    local_->ServeLookup(aRequest, std::move(aOnReply));
  } else {
    peers_.Call(
      *registrar,
      sycamoreward::Lookup{ aRequest },
      options_.lookupTimeout_,
      [aOnReply = std::move(aOnReply)](const PeerReply& aReply) {
        const auto* answer = aReply.message_
                               ? std::get_if<LookupAnswer>(&*aReply.message_)
                               : nullptr;
        if (answer != nullptr) {
          aOnReply({ answer->outcome_, answer->error_ });
        } else {
          aOnReply({ std::nullopt,
                     "The registrar did not answer: " + aReply.error_ + "." });
        }
      });
  }
}

} // namespace sycamoreward
