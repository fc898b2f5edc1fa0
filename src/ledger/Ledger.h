#pragma once

// The interface of the ledger for the request path. The implementation
// communicates with the registrar of the request's partition, on this or
// another entry instance.

#include "base/Ids.h"
#include "ledger/Outcome.h"

#include <functional>
#include <optional>
#include <vector>

namespace sycamoreward {

// Parameters of a registration, which acquires the request's idempotency key if
// there is one.
struct RegisterRequest
{
  RequestId request_;
  WorkspaceId workspace_;
  ServiceName service_;
  RegionId region_;
  std::string keyDigest_;
  std::string bodyDigest_;
  // Whether to store the claim durably before replying. Required for
  // unrepeatable requests.
  bool isDurable_ = false;
  // The entry instance that runs the request.
  InstanceId owner_;
  // For a durable claim: the only servers that the owner may send the request
  // to. Empty when the owner does not know them.
  std::vector<ServerId> servers_;
  // For a request that was handed over: its previous owners. If one of them
  // holds the claim, the claim is transferred to owner_.
  std::vector<InstanceId> previousOwners_;
};

enum class RegisterStatus
{
  // The owner may run the request.
  Granted,
  // Another request holds the key and is still running at owner_.
  Running,
  // The request that holds the key has ended; outcome_ is its record.
  Finished,
  // The key was used before with another request body.
  BodyMismatch,
  // The outcome of an earlier request with the key is not settled yet; retry
  // later.
  Unsettled,
  // The registrar is unreachable, or the table has not confirmed the claim. The
  // caller must not run an unrepeatable request.
  Unavailable
};

struct RegisterReply
{
  RegisterStatus status_ = RegisterStatus::Unavailable;
  // The request that holds the key. Empty for BodyMismatch and Unavailable.
  RequestId request_;
  InstanceId owner_;
  std::optional<Outcome> outcome_;
};

// Registers requests, records their outcomes and looks them up.
class Ledger
{
public:
  virtual ~Ledger() = default;

  // Creates the id of a new request. The id contains the request's partition:
  // "{region}.{partition}.{random}". aKeyDigest is empty when the caller gave
  // no key.
  virtual RequestId MakeRequestId(const RegionId& aRegion,
                                  const WorkspaceId& aWorkspace,
                                  const ServiceName& aService,
                                  const std::string& aKeyDigest) = 0;

  // Replies within aTimeout, with Unavailable if the registrar has given no
  // other reply by then.
  virtual void Register(const RegisterRequest& aRequest,
                        Duration aTimeout,
                        std::function<void(RegisterReply)> aOnReply) = 0;

  // Buffers an outcome until it is durable. aOnDurable may be empty; it is
  // called when the outcome is in the table.
  virtual void Record(const Outcome& aOutcome,
                      std::function<void()> aOnDurable) = 0;

  // Returns false when the buffer of outcomes that are not durable yet is full;
  // new requests must then be refused.
  virtual bool HasBufferSpace() const = 0;

  // Result of looking up an outcome. outcome_ is empty when there is no record;
  // error_ is set when the record cannot be read at the moment.
  struct LookupReply
  {
    std::optional<Outcome> outcome_;
    std::string error_;
  };
  virtual void Lookup(const RequestId& aRequest,
                      std::function<void(LookupReply)> aOnReply) = 0;
};

} // namespace sycamoreward
