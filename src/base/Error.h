#pragma once

// Exceptions of the system. Each carries the step that failed, the peer that
// was involved, and a message in full sentences that names the invalid value.

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

// Invalid input from a caller, an operator or a settings file.
class UserError : public Error
{
public:
  using Error::Error;
};

// A failure of the program or of an external system.
class InternalError : public Error
{
public:
  using Error::Error;
};

} // namespace sycamoreward
