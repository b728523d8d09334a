// Limits retries to a small share of the requests, so that they do not multiply
// the load when many instances are reclaimed or servers are overloaded.

#ifndef QH_ROUTING_RETRIES_RETRY_BUDGET_H_
#define QH_ROUTING_RETRIES_RETRY_BUDGET_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "qh_core/ids/ids.h"
#include "qh_core/random/rng.h"
#include "qh_core/time/time.h"

namespace qh {

// The retry budgets of one gateway node: one for the whole node, and one for
// each pool or route.
class RetryBudget {
 public:
  explicit RetryBudget(uint64_t seed);

  // Counts a first attempt, which adds a fraction of a retry to both budgets.
  void OnFirstAttempt(const PoolId& pool, TimePoint now);

  // Takes a retry out of both budgets. Returns how long to wait before attempt
  // number `attempt` (2 is the first retry), or nothing when one of the budgets
  // is exhausted.
  std::optional<Duration> TakeRetry(const PoolId& pool,
                                    uint32_t attempt,
                                    TimePoint now);

 private:
  struct Bucket {
    // Retries available as of refilled_at, within [0, capacity].
    double level = 0;
    TimePoint refilled_at;
    // False until the first refill, which fills the bucket to its capacity.
    bool initialized = false;
  };

  static void Refill(Bucket& bucket, double capacity, TimePoint now);

  Rng rng_;
  Bucket node_;
  std::unordered_map<PoolId, Bucket> pools_;
};

}  // namespace qh

#endif  // QH_ROUTING_RETRIES_RETRY_BUDGET_H_
