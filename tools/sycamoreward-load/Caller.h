#pragma once

// A caller that follows the retry rules of the callers' API: it sends an
// idempotency key, and retries with the same key at the next address when a
// connection breaks or the reply is 429 or 503.

#include "base/Address.h"
#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward::load {

// A request to send.
struct CallSpec
{
  HttpMethod method_ = HttpMethod::Post;
  std::string target_ = "/v1/completions";
  std::string body_;
  std::string token_;
  // Idempotency key. When empty, none is sent and the call is not retried.
  std::string idempotencyKey_;
  bool isStream_ = true;
  // Whether the text of a stream is parsed and kept. Counting the tokens only
  // takes the caller less processor time.
  bool keepsText_ = true;
  unsigned maxAttempts_ = 8;
  Duration maxSilence_ = std::chrono::seconds(60);
};

// How a call ended after its last attempt.
enum class CallEnd
{
  Completed,
  // The request ran, or was rejected, without a complete answer.
  Failed,
  // The request was certainly not run.
  NotRun,
  // It is unknown whether the request was run.
  Unknown
};

const char*
ToString(CallEnd aEnd);

struct CallResult
{
  CallEnd end_ = CallEnd::Failed;
  int status_ = 0;
  // Concatenated text of a stream, or the body of a plain reply.
  std::string text_;
  std::uint64_t tokens_ = 0;
  // Both times count from the start of the first attempt.
  Duration firstByte_{ 0 };
  Duration totalTime_{ 0 };
  // Times between consecutive tokens of the last attempt.
  std::vector<Duration> tokenGaps_;
  unsigned attempts_ = 0;
};

// Sends calls to the entry instances in turn. All calls run on aLoop.
class Caller
{
public:
  Caller(EventLoop& aLoop, std::vector<Address> aAddresses);

  // Starts a call. aOnResult is called once, on the loop, when it has ended.
  void Start(CallSpec aSpec, std::function<void(CallResult)> aOnResult);

  // Requests the address list from the first instance, asynchronously, and
  // replaces the current addresses by it. On failure they are kept.
  void RefreshAddresses();

  // Defined in the source file.
  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace sycamoreward::load
