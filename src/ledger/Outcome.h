#pragma once

// The record of a request: how it ended, and the evidence for it.

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
  // Failed after it ran or began to run.
  Failed,
  // No byte of it reached a backend server, or the server confirmed that it did
  // not run.
  NotRun,
  // Only for unrepeatable requests: sent, or perhaps sent, and its server can't
  // say whether it ran.
  Unknown
};

const char*
ToString(OutcomeKind aKind);

// Throws InternalError for a name that ToString does not give.
OutcomeKind
ParseOutcomeKind(const std::string& aName);

// One attempt at a backend server.
struct AttemptRecord
{
  AttemptNumber number_;
  ServerId server_;
  WallTime sent_;
  // How it ended, such as "complete" or "connection broken".
  std::string end_;
};

// An answer as the caller got it, kept for unrepeatable requests.
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
  // SHA-256 in hexadecimal of the Idempotency-Key, and of method, path and
  // body.
  std::string keyDigest_;
  std::string bodyDigest_;
  OutcomeKind kind_ = OutcomeKind::Completed;
  std::vector<AttemptRecord> attempts_;
  WallTime accepted_;
  WallTime ended_;
  std::string answerDigest_;
  Bytes answerLength_;
  // Whose word the outcome rests on, such as "reply of engine-3".
  std::string evidence_;
  std::optional<KeptAnswer> answer_;
};

} // namespace sycamoreward
