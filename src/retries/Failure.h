#pragma once

// How an attempt at a backend server failed, and what may follow.

#include "runtime/HttpClient.h"

namespace sycamoreward {

// What is known of an attempt when it ended without a whole answer.
struct AttemptFailure
{
  HttpEnd end_ = HttpEnd::Broken;
  // Status of the reply head; 0 when none arrived.
  int status_ = 0;
  // The server said that the request did not run (header
  // "Sycamoreward-Ran: not_run" or a status that means it, such as 429).
  bool isConfirmedNotRun_ = false;
  // The server said that it leaves.
  bool isLeaving_ = false;
  // The server runs another model version than asked for.
  bool isWrongVersion_ = false;
};

enum class FailureClass
{
  // No byte reached the server, or it refused before running.
  NotSent,
  // The server leaves or has another version: retry elsewhere, refresh.
  Moved,
  // The server refused because it is full; it did not run the request.
  Overloaded,
  // The connection failed after bytes may have arrived.
  Transport,
  // The server ran the request and reports an error.
  ServerError
};

FailureClass
ClassifyFailure(const AttemptFailure& aFailure);

enum class RetryAction
{
  RetryElsewhere,
  RetryAfterBackoff,
  // Ask the server whether the request ran; the outcome is unknown when it
  // can't say.
  AskServer,
  // End the request with the failure.
  GiveUp
};

struct RetryInput
{
  FailureClass class_ = FailureClass::Transport;
  bool isRepeatable_ = true;
  // Attempts so far, the failed one included.
  unsigned attempts_ = 1;
  // Whether the retry budget allows one more.
  bool hasBudget_ = true;
  // Time left until the request's deadline.
  Duration remaining_{ 0 };
};

RetryAction
DecideRetry(const RetryInput& aInput);

// Whether DecideRetry draws on the retry budget for this class.
bool
ConsumesRetryBudget(FailureClass aClass);

} // namespace sycamoreward
