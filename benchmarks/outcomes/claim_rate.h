// Measures ways to claim an idempotency key over the fake store, in virtual
// time: store writes, added latency, availability in an outage.

#ifndef BENCHMARKS_OUTCOMES_CLAIM_RATE_H_
#define BENCHMARKS_OUTCOMES_CLAIM_RATE_H_

#include <cstdint>

#include "qh_core/text/enum_table.h"

namespace qh {

enum class ClaimWay {
  // Claim logs with group commit: ClaimLog.
  kPartitionLogs,
  // One conditional create per claim and one write per outcome.
  kPerRequest,
  // Keys minted by a node and bound to its incarnation; nothing is stored.
  kMintedKeys,
};

template <>
inline constexpr EnumName<ClaimWay> kEnumNames<ClaimWay>[] = {
    {ClaimWay::kPartitionLogs, "partition_logs"},
    {ClaimWay::kPerRequest, "per_request"},
    {ClaimWay::kMintedKeys, "minted_keys"},
};

struct ClaimRate {
  double writes_per_second = 0;
  // Outcome records and segments included.
  double writes_per_claim = 0;
  double added_ms_p50 = 0;
  double added_ms_p99 = 0;
  // Of the asks in the whole run.
  double refused_share = 0;
  // Share of claims whose resend is told unknown if all nodes are replaced at
  // the end of the run.
  double unknown_after_node_loss = 0;
};

// Asks for claims at `rate` a second for 20 s of virtual time, each followed by
// its outcome; with `outage` the store is down for 5 s of them. The store takes
// any number of writes; its rate limit is not modelled.
ClaimRate MeasureClaims(ClaimWay way, double rate, bool outage, uint64_t seed);

}  // namespace qh

#endif  // BENCHMARKS_OUTCOMES_CLAIM_RATE_H_
