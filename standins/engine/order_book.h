// Orders that an engine took: what to load and which role to play.

#ifndef STANDINS_ENGINE_ORDER_BOOK_H_
#define STANDINS_ENGINE_ORDER_BOOK_H_

#include <cstdint>
#include <mutex>
#include <string>

namespace qh::standins {

// What the engine runs.
struct EngineState {
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;
};

// Thread safe.
class OrderBook {
 public:
  // With `checks_fencing` an order with an older fencing number is refused.
  explicit OrderBook(bool checks_fencing);

  // Takes the order or refuses it; returns whether it was taken.
  bool Take(uint64_t fencing, const EngineState& target);

  EngineState state() const;
  // Largest fencing number seen.
  uint64_t fencing() const;

 private:
  const bool checks_fencing_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  EngineState state_;
  uint64_t fencing_ = 0;
};

}  // namespace qh::standins

#endif  // STANDINS_ENGINE_ORDER_BOOK_H_
