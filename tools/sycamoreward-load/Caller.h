#pragma once

// A caller that behaves as the callers' API asks: it sends a key, and on a
// broken connection asks again with the key at another address.

#include "base/Address.h"
#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward::load {

struct CallSpec
{
  HttpMethod method_ = HttpMethod::Post;
  std::string target_ = "/v1/completions";
  std::string body_;
  std::string token_;
  // Empty sends none; the call is not tried again then.
  std::string idempotencyKey_;
  bool isStream_ = true;
  // Without it the tokens of a stream are counted and not read, which costs
  // the caller less processor time.
  bool keepsText_ = true;
  unsigned maxAttempts_ = 8;
  Duration maxSilence_ = std::chrono::seconds(60);
};

enum class CallEnd
{
  Completed,
  Failed,
  NotRun,
  Unknown
};

const char*
ToString(CallEnd aEnd);

struct CallResult
{
  CallEnd end_ = CallEnd::Failed;
  int status_ = 0;
  // Text of all chunks, or the body of a plain reply.
  std::string text_;
  std::uint64_t tokens_ = 0;
  // From the start of the first try.
  Duration firstByte_{ 0 };
  Duration totalTime_{ 0 };
  // Between tokens of the last try.
  std::vector<Duration> tokenGaps_;
  unsigned attempts_ = 0;
};

class Caller
{
public:
  Caller(EventLoop& aLoop, std::vector<Address> aAddresses);

  void Start(CallSpec aSpec, std::function<void(CallResult)> aOnResult);

  // Adds the addresses that an instance names.
  void RefreshAddresses();

  // Opaque; defined beside the implementation.
  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace sycamoreward::load
