#pragma once

// The ledger client of an entry instance: finds the registrar of each request
// and buffers outcomes until they are durable.

#include "ledger/Registrar.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace sycamoreward {

struct LedgerClientOptions
{
  // Size of the buffer of outcomes that are not durable yet. HasBufferSpace
  // returns false from this size on.
  Bytes maxBuffer_{ 16 * 1024 * 1024 };
  // Timeout of Record calls, after which the outcomes are sent again.
  Duration recordTimeout_ = std::chrono::seconds(30);
  Duration lookupTimeout_ = std::chrono::seconds(5);
  // Stores answers above kMaxKeptAnswerBytes. When null, they are not kept. Not
  // owned.
  ObjectStore* answers_ = nullptr;
};

class LedgerClient final : public Ledger
{
public:
  // aLocal serves the partitions for which this instance is the registrar, and
  // may be null.
  LedgerClient(EventLoop& aLoop,
               Membership& aMembership,
               PeerNetwork& aPeers,
               Registrar* aLocal,
               std::function<std::uint64_t()> aRandom,
               LedgerClientOptions aOptions = {});
  ~LedgerClient() override;
  LedgerClient(const LedgerClient&) = delete;
  LedgerClient& operator=(const LedgerClient&) = delete;

  RequestId MakeRequestId(const RegionId& aRegion,
                          const WorkspaceId& aWorkspace,
                          const ServiceName& aService,
                          const std::string& aKeyDigest) override;

  // Throws UserError when the request id is malformed or does not match the
  // partition of the key. When the reply to a durable claim is Unavailable, the
  // caller must record NotRun, which withdraws the claim whether or not it took
  // effect.
  void Register(const RegisterRequest& aRequest,
                Duration aTimeout,
                std::function<void(RegisterReply)> aOnReply) override;

  // An answer above kMaxKeptAnswerBytes is stored first; if that fails, the
  // outcome is recorded without it. Only the first outcome of a request counts;
  // later ones are ignored. Throws UserError when the request id is malformed.
  void Record(const Outcome& aOutcome,
              std::function<void()> aOnDurable) override;

  bool HasBufferSpace() const override;

  // Also returns outcomes that are not durable yet. Throws UserError when
  // aRequest is malformed.
  void Lookup(const RequestId& aRequest,
              std::function<void(LookupReply)> aOnReply) override;

  // Number of outcomes that are not durable yet.
  std::size_t BufferedOutcomes() const { return buffer_.size(); }

private:
  // An outcome that is not durable yet, with its estimated size.
  struct Buffered
  {
    Outcome outcome_;
    std::uint64_t bytes_ = 0;
    std::vector<std::function<void()>> onDurable_;
  };
  // A call to Register that has not been replied to yet.
  struct Registration;

  // Returns the member that serves the request's partition, or nothing if no
  // member can serve it.
  std::optional<PeerIdentity> FindRegistrar(const RequestId& aRequest) const;
  bool IsLocal(const PeerIdentity& aRegistrar) const;
  void SendRegistration(std::shared_ptr<Registration> aRegistration);
  void OnRegistered(const std::shared_ptr<Registration>& aRegistration,
                    const RegisterReply& aReply);
  void Finish(const std::shared_ptr<Registration>& aRegistration,
              RegisterReply aReply);
  void WithdrawDelayedClaim(const Registration& aRegistration,
                            const RegisterReply& aReply);
  bool IsStoredSeparately(const Outcome& aOutcome) const;
  void StoreAnswer(const RequestId& aRequest, unsigned aStoreAttempt);
  void VerifyStoredAnswer(const RequestId& aRequest,
                          const std::string& aText,
                          unsigned aStoreAttempt);
  void OnAnswerStored(const RequestId& aRequest);
  bool NeedsStoredAnswer(const RegisterRequest& aRequest,
                         const RegisterReply& aReply) const;
  void FetchAnswer(RegisterReply aReply,
                   std::function<void(RegisterReply)> aOnReply);
  // Estimates the memory used by an outcome, in bytes.
  static std::uint64_t EstimateSize(const Outcome& aOutcome);
  void ReregisterActive();
  void ScheduleSend(Duration aDelay);
  void SendUnsent();
  void SendRecord(const PeerIdentity& aRegistrar,
                  const std::vector<RequestId>& aRequests);
  void OnRecorded(const std::vector<RequestId>& aSent,
                  const std::vector<RequestId>& aDurable);
  Incarnation OwnIncarnation() const;
  template<typename Function>
  auto Guard(Function aFunction)
  {
    return [isAlive = isAlive_, aFunction](auto&&... aArguments) {
      if (*isAlive) {
        aFunction(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

  EventLoop& loop_;
  Membership& membership_;
  PeerNetwork& peers_;
  Registrar* local_;
  std::function<std::uint64_t()> random_;
  LedgerClientOptions options_;
  std::unordered_map<RequestId, Buffered> buffer_;
  std::uint64_t bufferedBytes_ = 0;
  std::deque<RequestId> unsent_;
  bool isSendScheduled_ = false;
  Duration backoff_{ 0 };
  // A keyed repeatable request that runs on this instance, with the registrar
  // that it was sent to; empty if that registrar did not reply. It is
  // registered again when the registrar changes.
  struct ActiveRequest
  {
    RegisterRequest request_;
    InstanceId registrar_;
  };
  std::unordered_map<RequestId, ActiveRequest> active_;
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
