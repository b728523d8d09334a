// Format of the stored objects of a claim log: ring entries and segments. See
// claim_log.h.

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

// One claim or one outcome.
struct ClaimRecord {
  ClaimRecordKind kind = ClaimRecordKind::kClaim;
  std::string key;
  std::string fingerprint;
  RequestId request_id;
  // Wall clock of the writer, in milliseconds since the epoch. Only expiry and
  // the choice of the error in a refusal depend on it.
  uint64_t written_ms = 0;

  // Set for kClaim: the node that dispatches the request.
  InstanceId claimant;
  // Set for kClaim: when the request ends at the latest, in milliseconds like
  // written_ms.
  uint64_t runs_until_ms = 0;

  // Set for kOutcome.
  OutcomeKind outcome = OutcomeKind::kUnknown;
  // Whether `answer` holds the whole answer; never set unless `outcome` is
  // kAnswered.
  bool answer_stored = false;
  StoredAnswer answer;
};

// One stored object: a log entry, or a segment that holds the records of a
// block of entries.
struct ClaimBatch {
  // Position of the entry in the log, or index of the segment.
  uint64_t sequence = 0;
  // Random number of this write, by which a writer recognises its own entry
  // when it reads the slot back. Zero in segments.
  uint64_t nonce = 0;
  std::vector<ClaimRecord> records;

  std::string Encode() const;
  // Fails with kPeerMalformed, also when there are no records.
  static Result<ClaimBatch> Decode(std::string_view bytes);
};

}  // namespace qh

#endif  // QH_REQUESTS_CLAIMS_CLAIM_RECORD_H_
