#include "fleet/Orders.h"

namespace sycamoreward {

const char*
ToString(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::LoadModel:
      return "load_model";
    case OrderKind::LoadAdapter:
      return "load_adapter";
    case OrderKind::ChangeRole:
      return "change_role";
  }
  return "";
}

OrderPermission
CheckOrderPermission(const std::optional<HeldLease>& aLease,
                     FencingSupport aSupport,
                     MonotonicTime aNow,
                     const OrderTerms& aTerms)
{
  if (!aLease || !IsValid(*aLease, aNow)) {
    return OrderPermission::NotHeld;
  }
  if (aSupport == FencingSupport::Checked) {
    return OrderPermission::Allowed;
  }
  const Duration wait = aTerms.lease_.duration_ + aTerms.orderTimeout_;
  if (aNow < aLease->acquired_ + wait) {
    return OrderPermission::TooEarly;
  }
  if (aNow + aTerms.orderTimeout_ > aLease->validUntil_) {
    return OrderPermission::TooLate;
  }
  return OrderPermission::Allowed;
}

} // namespace sycamoreward
