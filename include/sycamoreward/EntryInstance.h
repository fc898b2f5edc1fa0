#pragma once

// One entry instance: everything that the daemon sycamorewardd runs, on one
// event loop.

#include <functional>
#include <memory>
#include <string>

namespace sycamoreward {

class EventLoop;
struct Settings;

class EntryInstance
{
public:
  // Binds the addresses of aSettings and begins to join the others. Throws
  // InternalError when an address can't be bound.
  EntryInstance(EventLoop& aLoop, const Settings& aSettings);
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  // Addresses in use, as "IP:PORT".
  std::string CallerAddress() const;
  std::string OperatorAddress() const;
  std::string PeerAddress() const;

  // Takes no new requests, finishes the running ones and calls aOnDone when
  // their outcomes are durable. Has no time limit of its own.
  void Drain(std::function<void()> aOnDone);

  // Calls aOnDone once after a reclaim notice: when all requests were handed
  // over or have ended, at the latest shortly before the notice's deadline.
  void OnReclaimed(std::function<void()> aOnDone);

  // Opaque; defined in the library.
  struct State;

private:
  std::unique_ptr<State> state_;
};

} // namespace sycamoreward
