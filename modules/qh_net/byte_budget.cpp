#include "qh_net/byte_budget.h"

#include <utility>

namespace qh {

bool ByteBudget::Allows(HoldPurpose purpose,
                        uint64_t before,
                        uint64_t after) const {
  if (after <= before) {
    return true;
  }
  const uint64_t sum = held_ - before + after;
  if (purpose == HoldPurpose::kControl) {
    return sum <= limit_;
  }
  const bool is_small = after <= kSmallHolding;
  return sum <= Share(is_small ? kSmallPercent : kLargePercent);
}

HeldBytes::HeldBytes(std::shared_ptr<ByteBudget> budget, HoldPurpose purpose)
    : budget_(std::move(budget)), purpose_(purpose) {}

HeldBytes::~HeldBytes() {
  Set(0);
}

bool HeldBytes::TrySet(uint64_t bytes) {
  if (budget_ != nullptr && !budget_->Allows(purpose_, bytes_, bytes)) {
    ++budget_->refusals_;
    return false;
  }
  Set(bytes);
  return true;
}

void HeldBytes::Set(uint64_t bytes) {
  if (budget_ != nullptr) {
    budget_->held_ += bytes;
    budget_->held_ -= bytes_;
  }
  bytes_ = bytes;
}

}  // namespace qh
