// Format of the objects of a claim log: entries of the ring and segments.

#ifndef QH_REQUESTS_CLAIMS_CLAIM_RECORD_H_
#define QH_REQUESTS_CLAIMS_CLAIM_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "qh_requests/claims/claim_messages.h"

namespace qh {

enum class ClaimRecordKind { kClaim, kOutcome };

template <>
inline constexpr EnumName<ClaimRecordKind> kEnumNames<ClaimRecordKind>[] = {
    {ClaimRecordKind::kClaim, "claim"},
    {ClaimRecordKind::kOutcome, "outcome"},
};

struct ClaimRecord {
  ClaimRecordKind kind = ClaimRecordKind::kClaim;
  std::string key;
  std::string fingerprint;
  RequestId request_id;
  // Writer's wall clock, milliseconds since the epoch; only expiry and the
  // wording of refusals depend on it.
  uint64_t written_ms = 0;

  // Of kClaim.
  InstanceId claimant;
  // When the run ends at the latest, in milliseconds like written_ms.
  uint64_t runs_until_ms = 0;

  // Of kOutcome.
  OutcomeKind outcome = OutcomeKind::kUnknown;
  // Whether `answer` holds the whole answer of kAnswered.
  bool answer_stored = false;
  StoredAnswer answer;
};

// One object of the log: an entry, or a segment that covers a block of entries.
struct ClaimBatch {
  // Position of the entry in the log, or of the segment among the segments.
  uint64_t sequence = 0;
  // Random number of this write; tells whose write took effect.
  uint64_t nonce = 0;
  std::vector<ClaimRecord> records;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<ClaimBatch> Decode(std::string_view bytes);
};

}  // namespace qh

#endif  // QH_REQUESTS_CLAIMS_CLAIM_RECORD_H_
