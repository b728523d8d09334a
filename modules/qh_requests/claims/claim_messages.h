// What nodes ask and tell the owner of a claim partition, and its answers.

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

// Number of claim logs. With one write per ClaimLogSettings::flush_interval
// each, all partitions together stay under 300 store writes a second.
inline constexpr uint32_t kClaimPartitions = 16;

// Returns the claim key of a team's idempotency key, as hexadecimal text.
std::string ClaimKey(const TeamId& team, std::string_view idempotency_key);

// Returns the partition of a claim key, below kClaimPartitions.
uint32_t ClaimPartition(std::string_view claim_key);

// Returns the member that should own `partition`, or an empty id when `members`
// is empty. A hint: two nodes that both own a partition do no harm.
InstanceId ClaimOwner(uint32_t partition,
                      const std::vector<InstanceId>& members);

// Asks for the claim of `key`. Asking again with the same `ask` gives the same
// verdict, so a lost answer is safe.
struct ClaimRequest {
  std::string key;
  std::string fingerprint;
  // The request that asks; never used for two requests.
  RequestId request_id;
  // The node that will run the request.
  InstanceId claimant;
  // How long the asker waits for the answer.
  Duration wait = Duration::zero();
  // How long the request may run.
  Duration run_time = Duration::zero();

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<ClaimRequest> Decode(std::string_view bytes);
};

// How a claimed request ended.
enum class OutcomeKind {
  // A backend server answered.
  kAnswered,
  // No byte reached a backend server, and none will: the key is free again.
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

// A backend server's answer, kept for a resend.
struct StoredAnswer {
  uint32_t status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

// Tells the outcome of a claimed request. Only the node that runs the request
// sends it; kNotDispatched only after the request's machine has ended.
struct OutcomeReport {
  std::string key;
  std::string fingerprint;
  RequestId request_id;
  OutcomeKind kind = OutcomeKind::kUnknown;
  // Of kAnswered.
  StoredAnswer answer;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<OutcomeReport> Decode(std::string_view bytes);
};

enum class ClaimDecision {
  // The claim is durable: run the request.
  kWon,
  // An earlier run answered with `answer`.
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
  ClaimDecision decision = ClaimDecision::kRefused;
  ErrorKind error = ErrorKind::kClaimUnavailable;
  StoredAnswer answer;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<ClaimAnswer> Decode(std::string_view bytes);
};

}  // namespace qh

#endif  // QH_REQUESTS_CLAIMS_CLAIM_MESSAGES_H_
