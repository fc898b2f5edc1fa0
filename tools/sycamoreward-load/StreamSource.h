#pragma once

// A minimal engine for measuring the components in front of it. It streams a
// fixed number of tokens at a fixed interval, on a separate thread.

#include "base/Address.h"
#include "base/Clock.h"

#include <memory>

namespace sycamoreward::load {

class StreamSource
{
public:
  // aTokens is the length of each answer. An interval of 0 sends the answer at
  // once.
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
