#pragma once

// Read access to the members as seen by this instance.

#include "membership/Member.h"

#include <functional>

namespace sycamoreward {

class Membership
{
public:
  virtual ~Membership() = default;

  virtual const MemberList& Members() const = 0;

  // Calls aObserver after each change, on the owner's event loop.
  virtual void OnChange(std::function<void()> aObserver) = 0;
};

} // namespace sycamoreward
