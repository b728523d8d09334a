#include "standins/engine/order_book.h"

#include <algorithm>

namespace qh::standins {

OrderBook::OrderBook(bool checks_fencing) : checks_fencing_(checks_fencing) {}

bool OrderBook::Take(uint64_t fencing, const EngineState& target) {
  const std::lock_guard lock(mutex_);
  if (checks_fencing_ && fencing < fencing_) {
    return false;
  }
  fencing_ = std::max(fencing_, fencing);
  state_ = target;
  return true;
}

EngineState OrderBook::state() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

uint64_t OrderBook::fencing() const {
  const std::lock_guard lock(mutex_);
  return fencing_;
}

}  // namespace qh::standins
