#pragma once

// Classifies failed attempts at a backend server and decides whether to retry.

#include "runtime/HttpClient.h"

namespace sycamoreward {

// Outcome of an attempt that ended without a complete answer.
struct AttemptFailure
{
  HttpEnd end_ = HttpEnd::Broken;
  // HTTP status of the reply; 0 if none arrived.
  int status_ = 0;
  // The server reported that the request did not run (header "Sycamoreward-Ran:
  // not_run" or a status that implies it, such as 429).
  bool isConfirmedNotRun_ = false;
  // The server announced that it is leaving.
  bool isLeaving_ = false;
  // The server runs a different model version than requested.
  bool isWrongVersion_ = false;
};

enum class FailureClass
{
  // The request did not reach the server, or the server refused it without
  // running it.
  NotSent,
  // The server is leaving or has another version, and did not run the request:
  // retry at another server and refresh the server list.
  Moved,
  // The server is full and did not run the request.
  Overloaded,
  // The attempt failed after the request may have reached the server, so that
  // it may have run.
  Transport,
  // The server ran the request and reported an error.
  ServerError
};

FailureClass
ClassifyFailure(const AttemptFailure& aFailure);

enum class RetryAction
{
  RetryElsewhere,
  RetryAfterBackoff,
  // Query the server whether the request ran; the outcome is unknown if it
  // can't tell.
  AskServer,
  // Fail the request.
  GiveUp
};

struct RetryInput
{
  FailureClass class_ = FailureClass::Transport;
  bool isRepeatable_ = true;
  // Number of attempts so far, including the failed one.
  unsigned attempts_ = 1;
  // Whether the retry budget allows another attempt.
  bool hasBudget_ = true;
  // Time left until the request's deadline.
  Duration remaining_{ 0 };
};

// Decides what to do after a failed attempt. An unrepeatable request is retried
// only if it is known not to have run.
RetryAction
DecideRetry(const RetryInput& aInput);

// Whether a retry after this class of failure counts against the retry budget.
bool
ConsumesRetryBudget(FailureClass aClass);

} // namespace sycamoreward
