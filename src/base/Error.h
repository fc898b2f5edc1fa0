#pragma once

// Errors of the system. Each carries the step at which it arose and the peer
// that was involved, and a full sentence with the value at fault.

#include <stdexcept>
#include <string>

namespace sycamoreward {

class Error : public std::runtime_error
{
public:
  // aStep is a short name such as "claim" or "dispatch"; aPeer is an address or
  // an instance id, or empty when no peer is involved.
  Error(std::string aStep, std::string aPeer, const std::string& aMessage);

  const std::string& Step() const { return step_; }
  const std::string& Peer() const { return peer_; }

private:
  std::string step_;
  std::string peer_;
};

// The input of a caller, an operator or a settings file is at fault.
class UserError : public Error
{
public:
  using Error::Error;
};

// The program or an outside system is at fault.
class InternalError : public Error
{
public:
  using Error::Error;
};

} // namespace sycamoreward
