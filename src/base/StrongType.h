#pragma once

// Wraps a plain value in a distinct type, so that different ids or units can't
// be mixed up.

#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace sycamoreward {

template<typename Tag, typename Rep>
class StrongType
{
public:
  using value_type = Rep;

  StrongType() = default;
  explicit StrongType(Rep aValue)
    : value_(std::move(aValue))
  {
  }

  const Rep& Value() const { return value_; }

  friend bool operator==(const StrongType& aLeft, const StrongType& aRight)
  {
    return aLeft.value_ == aRight.value_;
  }
  friend bool operator!=(const StrongType& aLeft, const StrongType& aRight)
  {
    return aLeft.value_ != aRight.value_;
  }
  friend bool operator<(const StrongType& aLeft, const StrongType& aRight)
  {
    return aLeft.value_ < aRight.value_;
  }
  friend bool operator>(const StrongType& aLeft, const StrongType& aRight)
  {
    return aRight < aLeft;
  }
  friend bool operator<=(const StrongType& aLeft, const StrongType& aRight)
  {
    return !(aRight < aLeft);
  }
  friend bool operator>=(const StrongType& aLeft, const StrongType& aRight)
  {
    return !(aLeft < aRight);
  }
  friend std::ostream& operator<<(std::ostream& aOut, const StrongType& aValue)
  {
    return aOut << aValue.value_;
  }

private:
  Rep value_{};
};

} // namespace sycamoreward

template<typename Tag, typename Rep>
struct std::hash<sycamoreward::StrongType<Tag, Rep>>
{
  std::size_t operator()(
    const sycamoreward::StrongType<Tag, Rep>& aValue) const noexcept
  {
    return std::hash<Rep>()(aValue.Value());
  }
};
