#pragma once

// One entry instance: all components of the daemon sycamorewardd, on one event
// loop.

#include <functional>
#include <memory>
#include <string>

namespace sycamoreward {

class EventLoop;
struct Settings;

class EntryInstance
{
public:
  // Binds the addresses of aSettings and starts to join the other instances.
  // Throws InternalError when an address can't be bound. aLoop must outlive the
  // instance.
  EntryInstance(EventLoop& aLoop, const Settings& aSettings);
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  // The bound addresses, as "IP:PORT".
  std::string CallerAddress() const;
  std::string OperatorAddress() const;
  std::string PeerAddress() const;

  // Stops accepting requests, finishes the running ones and calls aOnDone when
  // their outcomes are durable. Does not time out. A second call while a drain
  // is in progress is ignored.
  void Drain(std::function<void()> aOnDone);

  // Sets the function that is called once after a reclaim notice: when all
  // requests were handed over or have ended, and at the latest shortly before
  // the deadline of the notice.
  void OnReclaimed(std::function<void()> aOnDone);

  // Opaque; defined in src/entry/EntryState.h.
  struct State;

private:
  std::unique_ptr<State> state_;
};

} // namespace sycamoreward
