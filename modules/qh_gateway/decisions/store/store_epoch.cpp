#include "qh_gateway/decisions/store/store_epoch.h"

namespace qh {

EpochVerdict StoreEpoch::Observe(uint64_t epoch) {
  if (current_ && epoch < *current_) {
    return EpochVerdict::kOutdated;
  }
  if (current_ == epoch) {
    return EpochVerdict::kCurrent;
  }
  const bool restored = current_.has_value();
  current_ = epoch;
  on_known_(epoch, restored);
  return restored ? EpochVerdict::kRestored : EpochVerdict::kCurrent;
}

}  // namespace qh
