#include "qh_routing/retries/retry_budget.h"

#include <algorithm>

namespace qh {
namespace {

// Retries that a first attempt adds to the budget.
constexpr double kRetriesPerAttempt = 0.1;
// Retries added per second without any requests, so that a node with little
// traffic can retry.
constexpr double kRetriesPerSecond = 0.5;
// Most retries that a budget holds.
constexpr double kNodeCapacity = 30;
constexpr double kPoolCapacity = 20;
// Upper bound of the wait before the first retry. It doubles with each attempt
// up to kMaxBackoff; the wait is uniform below it (full jitter).
constexpr Duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);

}  // namespace

RetryBudget::RetryBudget(uint64_t seed) : rng_(seed) {}

void RetryBudget::OnFirstAttempt(const PoolId& pool, TimePoint now) {
  Bucket& pool_bucket = pools_[pool];
  Refill(node_, kNodeCapacity, now);
  Refill(pool_bucket, kPoolCapacity, now);
  node_.level = std::min(kNodeCapacity, node_.level + kRetriesPerAttempt);
  pool_bucket.level =
      std::min(kPoolCapacity, pool_bucket.level + kRetriesPerAttempt);
}

std::optional<Duration> RetryBudget::TakeRetry(const PoolId& pool,
                                               uint32_t attempt,
                                               TimePoint now) {
  Bucket& pool_bucket = pools_[pool];
  Refill(node_, kNodeCapacity, now);
  Refill(pool_bucket, kPoolCapacity, now);
  if (node_.level < 1 || pool_bucket.level < 1) {
    return std::nullopt;
  }
  node_.level -= 1;
  pool_bucket.level -= 1;
  const uint32_t doublings = std::min(10U, std::max(2U, attempt) - 2);
  const Duration max_wait =
      std::min(kMaxBackoff, kInitialBackoff * (int64_t(1) << doublings));
  return rng_.Between(Duration(0), max_wait);
}

void RetryBudget::Refill(Bucket& bucket, double capacity, TimePoint now) {
  if (!bucket.initialized) {
    bucket.initialized = true;
    bucket.level = capacity;
  } else {
    const double elapsed = double((now - bucket.refilled_at).count()) / 1e6;
    bucket.level = std::min(
        capacity, bucket.level + std::max(0.0, elapsed) * kRetriesPerSecond);
  }
  bucket.refilled_at = now;
}

}  // namespace qh
