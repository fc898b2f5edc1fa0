#pragma once

// What the request path asks of the ledger. The implementation talks to the
// registrar of the request's partition, on this or another entry instance.

#include "base/Ids.h"
#include "ledger/Outcome.h"

#include <functional>
#include <optional>
#include <vector>

namespace sycamoreward {

struct RegisterRequest
{
  RequestId request_;
  WorkspaceId workspace_;
  ServiceName service_;
  RegionId region_;
  std::string keyDigest_;
  std::string bodyDigest_;
  // Claim durably before the reply, for unrepeatable requests.
  bool isDurable_ = false;
  // Where the request runs.
  InstanceId owner_;
  // Of a durable claim: the only servers that the owner may send the request
  // to. Empty when it can't say.
  std::vector<ServerId> servers_;
  // Of a request that was handed over: its owners so far. A claim that one of
  // them holds becomes owner_'s.
  std::vector<InstanceId> previousOwners_;
};

enum class RegisterStatus
{
  // The request is the owner's to run.
  Granted,
  // The key is in use by another request, which still runs at owner_.
  Running,
  // The key's request has ended; outcome_ is its record.
  Finished,
  // The key was used with another body.
  BodyMismatch,
  // An earlier request with the key is not settled yet; ask again later.
  Unsettled,
  // The registrar can't be reached, or the table does not confirm the claim.
  // The caller must not run an unrepeatable request.
  Unavailable
};

struct RegisterReply
{
  RegisterStatus status_ = RegisterStatus::Unavailable;
  // The request that holds the key, with Running and Finished.
  RequestId request_;
  InstanceId owner_;
  std::optional<Outcome> outcome_;
};

class Ledger
{
public:
  virtual ~Ledger() = default;

  // Makes the id of a new request, which names its partition:
  // "{region}.{partition}.{random}". aKeyDigest is empty when the caller gave
  // no key.
  virtual RequestId MakeRequestId(const RegionId& aRegion,
                                  const WorkspaceId& aWorkspace,
                                  const ServiceName& aService,
                                  const std::string& aKeyDigest) = 0;

  // Answers within aTimeout, with Unavailable when nothing better is known.
  virtual void Register(const RegisterRequest& aRequest,
                        Duration aTimeout,
                        std::function<void(RegisterReply)> aOnReply) = 0;

  // Takes an outcome and keeps it until it is durable. aOnDurable may be empty;
  // it is called when the outcome is in the table.
  virtual void Record(const Outcome& aOutcome,
                      std::function<void()> aOnDurable) = 0;

  // False when the buffer of outcomes that are not durable yet is full and new
  // requests have to be refused.
  virtual bool HasBufferSpace() const = 0;

  // Reads an outcome record. Empty when there is none; an error text when it
  // can't be told now.
  struct LookupReply
  {
    std::optional<Outcome> outcome_;
    std::string error_;
  };
  virtual void Lookup(const RequestId& aRequest,
                      std::function<void(LookupReply)> aOnReply) = 0;
};

} // namespace sycamoreward
