// Rate limiter of one node for calls to the platform's store: token buckets for
// reads and writes, with a reserve for claims and leases.

#ifndef QH_PLATFORM_CLIENT_STORE_RATE_LIMITER_H_
#define QH_PLATFORM_CLIENT_STORE_RATE_LIMITER_H_

#include <cstdint>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_platform/store/object_store.h"

namespace qh {

// What a store call is for, in order of priority, highest first.
enum class CallClass { kClaim, kLease, kBackground };

template <>
inline constexpr EnumName<CallClass> kEnumNames<CallClass>[] = {
    {CallClass::kClaim, "claim"},
    {CallClass::kLease, "lease"},
    {CallClass::kBackground, "background"},
};

struct StoreRateLimits {
  // Calls a second.
  double writes_per_s = 10;
  double reads_per_s = 50;
  // Capacity of each bucket: calls that may be made in one burst.
  double burst = 8;
  // Tokens in each bucket that background calls leave for the other classes.
  double reserve = 4;

  // Returns the limits of one node with which `nodes` nodes together stay under
  // 300 writes and 1,500 reads a second.
  static StoreRateLimits ForFleet(uint32_t nodes);
};

// Not thread safe.
class StoreRateLimiter {
 public:
  explicit StoreRateLimiter(const StoreRateLimits& limits);

  // Takes a token for one call. Returns false if none is left for its class.
  bool Take(StoreOp op, CallClass call_class, TimePoint now);

  // Sets how many watches are open at the store. Each one lowers the read rate
  // by one call a second.
  void set_open_watches(uint32_t watches, TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    double per_s = 0;
  };

  void Refill(TimePoint now);

  StoreRateLimits limits_;
  Bucket writes_;
  Bucket reads_;
  TimePoint refilled_at_;
};

}  // namespace qh

#endif  // QH_PLATFORM_CLIENT_STORE_RATE_LIMITER_H_
