// Messages between nodes and the owner of a claim partition.
//
// A request that is not idempotent needs the claim of its idempotency key
// before it is dispatched; only one request gets it. Claims are partitioned by
// key.

#ifndef QH_REQUESTS_CLAIMS_CLAIM_MESSAGES_H_
#define QH_REQUESTS_CLAIMS_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// Number of claim logs. At one write per ClaimLogSettings::flush_interval each,
// all partitions together stay under 300 store writes per second.
inline constexpr uint32_t kClaimPartitions = 16;

// Returns the claim key for an idempotency key of a team, as hexadecimal text.
std::string ClaimKey(const TeamId& team, std::string_view idempotency_key);

// Returns the partition of a claim key, below kClaimPartitions.
uint32_t ClaimPartition(std::string_view claim_key);

// Returns the member that should own `partition`, by rendezvous hashing, or an
// empty id when `members` is empty. Ownership saves store writes but
// correctness does not depend on it: two nodes may write to a partition at the
// same time.
InstanceId ClaimOwner(uint32_t partition,
                      const std::vector<InstanceId>& members);

// Requests the claim of `key`. A repeated request with the same `request_id`
// gets the same verdict, so that it is safe to retry after a lost answer.
struct ClaimRequest {
  std::string key;
  std::string fingerprint;
  // The request that needs the claim. Unique: never reused for another request.
  RequestId request_id;
  // The node that will dispatch the request.
  InstanceId claimant;
  // How long the requesting node waits for the answer.
  Duration wait = Duration::zero();
  // Time from now until the request ends at the latest.
  Duration run_time = Duration::zero();

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<ClaimRequest> Decode(std::string_view bytes);
};

// How a claimed request ended.
enum class OutcomeKind {
  // A backend server answered.
  kAnswered,
  // No byte reached a backend server and none will; the key becomes free.
  kNotDispatched,
  // A backend server may have run it.
  kUnknown,
};

template <>
inline constexpr EnumName<OutcomeKind> kEnumNames<OutcomeKind>[] = {
    {OutcomeKind::kAnswered, "answered"},
    {OutcomeKind::kNotDispatched, "not_dispatched"},
    {OutcomeKind::kUnknown, "unknown"},
};

// A backend server's answer, stored in the claim log to be replayed when the
// caller resends the request.
struct StoredAnswer {
  uint32_t status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

// Reports the outcome of a claimed request. Only the node that dispatched the
// request sends it, and kNotDispatched only after the request's state machine
// has ended.
struct OutcomeReport {
  std::string key;
  std::string fingerprint;
  RequestId request_id;
  OutcomeKind kind = OutcomeKind::kUnknown;
  // Set for kAnswered.
  StoredAnswer answer;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<OutcomeReport> Decode(std::string_view bytes);
};

enum class ClaimDecision {
  // The claim is durable: run the request.
  kWon,
  // An earlier request with this key was answered; replay `answer`.
  kReplayed,
  // Refuse with `error`.
  kRefused,
};

template <>
inline constexpr EnumName<ClaimDecision> kEnumNames<ClaimDecision>[] = {
    {ClaimDecision::kWon, "won"},
    {ClaimDecision::kReplayed, "replayed"},
    {ClaimDecision::kRefused, "refused"},
};

struct ClaimAnswer {
  // The ClaimRequest that this answers.
  RequestId request_id;
  // The verdict. `error` is set for kRefused, `answer` for kReplayed.
  ClaimDecision decision = ClaimDecision::kRefused;
  ErrorKind error = ErrorKind::kClaimUnavailable;
  StoredAnswer answer;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<ClaimAnswer> Decode(std::string_view bytes);
};

}  // namespace qh

#endif  // QH_REQUESTS_CLAIMS_CLAIM_MESSAGES_H_
