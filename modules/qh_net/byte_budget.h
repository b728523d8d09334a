// Bounds the bytes that a process holds for messages in progress: bodies,
// answers that are not complete, and bytes that a peer has not read yet. A
// message has a limit of its own, but the limits of all connections add up to
// more than a machine has.

#ifndef QH_NET_BYTE_BUDGET_H_
#define QH_NET_BYTE_BUDGET_H_

#include <cstdint>
#include <memory>

namespace qh {

// What bytes are held for. Under pressure, later ones are refused first.
enum class HoldPurpose {
  // Calls to the store, the cloud and peers, without which a node can't serve.
  kControl,
  // Requests of callers and their answers.
  kTraffic,
};

// The sum of what all owners hold. Not thread-safe.
class ByteBudget {
 public:
  // Traffic that holds at most this much counts as small.
  static constexpr uint64_t kSmallHolding = uint64_t{64} << 10U;

  // `limit` is the most that may be held, in bytes.
  explicit ByteBudget(uint64_t limit) : limit_(limit) {}

  uint64_t limit() const { return limit_; }
  // Bytes held now.
  uint64_t held() const { return held_; }
  // How often an owner was refused more.
  uint64_t refusals() const { return refusals_; }
  // Whether owners should hold less where they can, because only small traffic
  // may still grow.
  bool is_tight() const { return held_ > Share(kLargePercent); }

 private:
  friend class HeldBytes;

  // Shares of the limit to which traffic may bring the sum: few large messages
  // must not keep out many small ones, nor both the control calls.
  static constexpr uint64_t kLargePercent = 50;
  static constexpr uint64_t kSmallPercent = 75;

  uint64_t Share(uint64_t percent) const { return limit_ / 100 * percent; }
  // Whether an owner that holds `before` bytes may hold `after`.
  bool Allows(HoldPurpose purpose, uint64_t before, uint64_t after) const;

  uint64_t limit_;
  uint64_t held_ = 0;
  uint64_t refusals_ = 0;
};

// What one owner holds; ends with the owner.
class HeldBytes {
 public:
  // Counts in `budget`; with null, nothing is counted or refused.
  HeldBytes(std::shared_ptr<ByteBudget> budget, HoldPurpose purpose);
  ~HeldBytes();
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  // The owner wants to hold `bytes` in all. Returns whether it may. If not, the
  // count is unchanged and the owner has to let go of what is new.
  [[nodiscard]] bool TrySet(uint64_t bytes);
  // The owner holds `bytes` in all, and can't do with less.
  void Set(uint64_t bytes);

 private:
  std::shared_ptr<ByteBudget> budget_;
  HoldPurpose purpose_;
  uint64_t bytes_ = 0;
};

}  // namespace qh

#endif  // QH_NET_BYTE_BUDGET_H_
