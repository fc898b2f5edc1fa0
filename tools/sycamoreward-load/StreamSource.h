#pragma once

// An engine of the simplest kind, for measuring what lies in front of it:
// streams a set number of tokens at a set interval, on a thread of its own.

#include "base/Address.h"
#include "base/Clock.h"

#include <memory>

namespace sycamoreward::load {

class StreamSource
{
public:
  // aTokens is the length of each answer; an interval of 0 sends it at once.
  StreamSource(const Address& aListen,
               std::uint64_t aTokens,
               Duration aInterval);
  ~StreamSource();
  StreamSource(const StreamSource&) = delete;
  StreamSource& operator=(const StreamSource&) = delete;

  const Address& BoundAddress() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace sycamoreward::load
