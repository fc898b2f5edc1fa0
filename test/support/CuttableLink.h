#pragma once

// A TCP forwarder between two processes under test, whose connections can be
// cut or made silent.

#include "base/Address.h"

#include <memory>

namespace sycamoreward {

class EventLoop;

enum class LinkMode
{
  // Bytes pass both ways.
  Pass,
  // Open connections stay open and pass nothing; new ones work. Models a
  // middlebox that has lost track of old connections.
  SilenceOpen,
  // No bytes pass on any connection, old or new.
  SilenceAll,
  // Bytes pass towards the target only.
  DropReplies,
  // Connections are refused and open ones are reset.
  Cut
};

class CuttableLink
{
public:
  CuttableLink(EventLoop& aLoop, const Address& aTarget);
  ~CuttableLink();
  CuttableLink(const CuttableLink&) = delete;
  CuttableLink& operator=(const CuttableLink&) = delete;

  // Where the sending side connects.
  const Address& ListenAddress() const;

  void SetMode(LinkMode aMode);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace sycamoreward
