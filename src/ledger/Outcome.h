#pragma once

// The outcome record of a request: how it ended, and the evidence for it.

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

enum class OutcomeKind
{
  Completed,
  // Failed after it had started to run.
  Failed,
  // No byte of the request reached a backend server, or the server confirmed
  // that the request did not run.
  NotRun,
  // Only for unrepeatable requests: it was sent, or may have been sent, and its
  // server cannot tell whether it ran.
  Unknown
};

const char*
ToString(OutcomeKind aKind);

// Parses a name returned by ToString. Throws InternalError for any other name.
OutcomeKind
ParseOutcomeKind(const std::string& aName);

// One attempt to run a request on a backend server.
struct AttemptRecord
{
  AttemptNumber number_;
  ServerId server_;
  WallTime sent_;
  // How the attempt ended, such as "complete" or "connection broken".
  std::string end_;
};

// The answer sent to the caller, kept for unrepeatable requests.
struct KeptAnswer
{
  int status_ = 0;
  std::string contentType_;
  std::string body_;
};

struct Outcome
{
  RequestId request_;
  WorkspaceId workspace_;
  ServiceName service_;
  // Hexadecimal SHA-256 of the Idempotency-Key, and of method, path and body.
  std::string keyDigest_;
  std::string bodyDigest_;
  OutcomeKind kind_ = OutcomeKind::Completed;
  std::vector<AttemptRecord> attempts_;
  WallTime accepted_;
  WallTime ended_;
  std::string answerDigest_;
  Bytes answerLength_;
  // The source of the outcome, such as "reply of engine-3".
  std::string evidence_;
  std::optional<KeptAnswer> answer_;
};

} // namespace sycamoreward
