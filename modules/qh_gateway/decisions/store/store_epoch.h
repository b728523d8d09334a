// Notices that the store was restored from an older copy. The store counts its
// restores in its epoch. Knowledge of an earlier epoch may be about changes
// that the store has lost, and revisions of two epochs don't compare.

#ifndef QH_GATEWAY_DECISIONS_STORE_STORE_EPOCH_H_
#define QH_GATEWAY_DECISIONS_STORE_STORE_EPOCH_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "qh_core/text/enum_table.h"

namespace qh {

// What an epoch tells about the answer or the peer that stated it.
enum class EpochVerdict {
  kCurrent,
  // The store was restored: what is known of it has to be read anew.
  kRestored,
  // The statement is from before the last restore and must not be used.
  kOutdated,
};

template <>
inline constexpr EnumName<EpochVerdict> kEnumNames<EpochVerdict>[] = {
    {EpochVerdict::kCurrent, "current"},
    {EpochVerdict::kRestored, "restored"},
    {EpochVerdict::kOutdated, "outdated"},
};

class StoreEpoch {
 public:
  // `on_known` is called with the first epoch and with each newer one, and with
  // whether the store was restored since the epoch known before.
  using Hook = std::function<void(uint64_t epoch, bool restored)>;

  explicit StoreEpoch(Hook on_known) : on_known_(std::move(on_known)) {}

  // The store or a peer stated `epoch`. The hook runs before this returns.
  EpochVerdict Observe(uint64_t epoch);

  // The newest epoch; nullopt while none is known.
  const std::optional<uint64_t>& known() const { return current_; }
  // The newest epoch; zero while none is known.
  uint64_t current() const { return current_.value_or(0); }

 private:
  Hook on_known_;
  std::optional<uint64_t> current_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_STORE_EPOCH_H_
