#include "base/Error.h"

#include <utility>

namespace sycamoreward {

Error::Error(std::string aStep, std::string aPeer, const std::string& aMessage)
  : std::runtime_error(aMessage)
  , step_(std::move(aStep))
  , peer_(std::move(aPeer))
{
}

} // namespace sycamoreward
