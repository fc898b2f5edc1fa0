#include "ledger/LedgerClient.h"

#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward {

namespace {

// Above this number, requests are not registered again when the registrar
// changes.
constexpr std::size_t kMaxActiveRequests = 100000;
constexpr Duration kRetryDelay = std::chrono::milliseconds(25);
// Timeout of a call to one registrar, after which the registrar is looked up in
// the member list again.
constexpr Duration kRegistrarTimeout = std::chrono::seconds(2);
constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
constexpr Duration kReregisterTimeout = std::chrono::seconds(2);

} // namespace

struct LedgerClient::Registration
{
  RegisterRequest request_;
  MonotonicTime deadline_;
  std::function<void(RegisterReply)> onReply_;
  InstanceId registrar_;
  EventLoop::TimerId timer_ = 0;
  unsigned sendCount_ = 0;
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
    // Runs after all observers, so that the local registrar has updated its
    // duties.
    loop_.Post(Guard([this] { ReregisterActive(); }));
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

// Registration.

void
LedgerClient::Register(const RegisterRequest& aRequest,
                       Duration aTimeout,
                       std::function<void(RegisterReply)> aOnReply)
{
  CheckRequestId(aRequest);
  auto registration = std::make_shared<Registration>();
  registration->request_ = aRequest;
  registration->deadline_ = loop_.GetClock().Now() + aTimeout;
  registration->onReply_ = std::move(aOnReply);
  registration->timer_ = loop_.CallAfter(
    aTimeout, Guard([this, registration] { Finish(registration, {}); }));
  SendRegistration(registration);
}

void
LedgerClient::SendRegistration(std::shared_ptr<Registration> aRegistration)
{
  if (aRegistration->isDone_) {
    return;
  }
  const auto registrar = FindRegistrar(aRegistration->request_.request_);
  if (!registrar) {
    OnRegistered(aRegistration, {});
    return;
  }
  ++aRegistration->sendCount_;
  aRegistration->registrar_ = registrar->instance_;
  if (IsLocal(*registrar)) {
    local_->ServeRegister(
      aRegistration->request_,
      OwnIncarnation(),
      Guard([this, aRegistration](const RegisterReply& aReply) {
        loop_.Post(Guard([this, aRegistration, aReply] {
          OnRegistered(aRegistration, aReply);
        }));
      }));
    return;
  }
  const Duration remaining = aRegistration->deadline_ - loop_.GetClock().Now();
  peers_.Call(*registrar,
              sycamoreward::Register{ aRegistration->request_ },
              std::min(remaining, kRegistrarTimeout),
              Guard([this, aRegistration](const PeerReply& aReply) {
                const auto* registered =
                  aReply.message_ ? std::get_if<Registered>(&*aReply.message_)
                                  : nullptr;
                OnRegistered(aRegistration,
                             registered != nullptr ? registered->reply_
                                                   : RegisterReply{});
              }));
}

void
LedgerClient::OnRegistered(const std::shared_ptr<Registration>& aRegistration,
                           const RegisterReply& aReply)
{
  if (aRegistration->isDone_) {
    return;
  }
  if (aReply.status_ == RegisterStatus::Unavailable) {
    loop_.CallAfter(kRetryDelay, Guard([this, aRegistration] {
                      SendRegistration(aRegistration);
                    }));
    return;
  }
  Finish(aRegistration, aReply);
}

void
LedgerClient::Finish(const std::shared_ptr<Registration>& aRegistration,
                     RegisterReply aReply)
{
  if (std::exchange(aRegistration->isDone_, true)) {
    return;
  }
  loop_.CancelTimer(aRegistration->timer_);
  const RegisterRequest& request = aRegistration->request_;
  if (request.isDurable_) {
    WithdrawDelayedClaim(*aRegistration, aReply);
  } else if (!request.keyDigest_.empty() &&
             active_.size() < kMaxActiveRequests &&
             (aReply.status_ == RegisterStatus::Granted ||
              aReply.status_ == RegisterStatus::Unavailable)) {
    // Without a reply, the registrar may not have received the request.
    const bool isKnown = aReply.status_ == RegisterStatus::Granted;
    active_[request.request_] = { request,
                                  isKnown ? aRegistration->registrar_
                                          : InstanceId() };
  }
  if (NeedsStoredAnswer(request, aReply)) {
    FetchAnswer(std::move(aReply), std::move(aRegistration->onReply_));
  } else {
    aRegistration->onReply_(std::move(aReply));
  }
}

// A claim that was sent to several registrars may still take effect late, once
// the request that holds the key now is withdrawn. Nothing would then end the
// claim, so it is withdrawn here.
void
LedgerClient::WithdrawDelayedClaim(const Registration& aRegistration,
                                   const RegisterReply& aReply)
{
  const RegisterRequest& request = aRegistration.request_;
  if (aRegistration.sendCount_ < 2 || aReply.request_ == request.request_ ||
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
LedgerClient::ReregisterActive()
{
  for (auto& entry : active_) {
    ActiveRequest& active = entry.second;
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
                  kReregisterTimeout,
                  Guard([this, request](const PeerReply& aReply) {
                    const auto found = active_.find(request);
                    if (!aReply.message_ && found != active_.end()) {
                      found->second.registrar_ = InstanceId();
                    }
                  }));
    }
  }
  if (!unsent_.empty()) {
    ScheduleSend(kBatchDelay);
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
