#pragma once

// A TCP forwarder between two processes under test that injects network faults:
// it closes connections, refuses them, or discards their data.

#include "base/Address.h"

#include <memory>

namespace sycamoreward {

class EventLoop;

enum class LinkMode
{
  // Forwards data in both directions.
  Pass,
  // Discards the data of existing connections without closing them; new
  // connections work. Models a middlebox that has lost its connection state.
  SilenceOpen,
  // Discards the data of all connections without closing them.
  SilenceAll,
  // Forwards data to the target and discards its replies.
  DropReplies,
  // Refuses new connections and closes existing ones.
  Cut
};

class CuttableLink
{
public:
  // Forwards connections to aTarget.
  CuttableLink(EventLoop& aLoop, const Address& aTarget);
  ~CuttableLink();
  CuttableLink(const CuttableLink&) = delete;
  CuttableLink& operator=(const CuttableLink&) = delete;

  // The address to connect to instead of the target.
  const Address& ListenAddress() const;

  void SetMode(LinkMode aMode);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace sycamoreward
