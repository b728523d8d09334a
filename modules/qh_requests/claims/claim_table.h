// The claims of one partition, built by applying the records of its log in
// order.

#ifndef QH_REQUESTS_CLAIMS_CLAIM_TABLE_H_
#define QH_REQUESTS_CLAIMS_CLAIM_TABLE_H_

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "qh_requests/claims/claim_record.h"

namespace qh {

// Not thread safe.
class ClaimTable {
 public:
  // Applies the next record of the log. The first claim of a key is in force
  // until a kNotDispatched outcome of the same request; claims and outcomes of
  // other requests are ignored.
  void Apply(const ClaimRecord& record);

  // Returns the answer to `request`, or nothing when the key is free. `wall_ms`
  // is the wall clock in milliseconds since the epoch; a run of a claimant in
  // `dead` counts as ended with an unknown outcome.
  std::optional<ClaimAnswer> Evaluate(const ClaimRequest& request,
                                      uint64_t wall_ms,
                                      const std::set<InstanceId>& dead) const;

  // Removes claims whose last record was written before `before_ms`.
  void Expire(uint64_t before_ms);
  void Clear() { claims_.clear(); }

  size_t size() const { return claims_.size(); }

 private:
  enum class State { kRunning, kAnswered, kReleased, kUnknown };

  struct Claim {
    State state = State::kRunning;
    std::string fingerprint;
    // The request that holds or held the claim.
    RequestId request_id;
    InstanceId claimant;
    uint64_t written_ms = 0;
    uint64_t runs_until_ms = 0;
    bool answer_stored = false;
    StoredAnswer answer;
  };

  void ApplyClaim(const ClaimRecord& record);
  void ApplyOutcome(const ClaimRecord& record);
  // Returns the answer for a claim whose outcome is recorded.
  static ClaimAnswer AnswerFromEndedRun(const Claim& claim,
                                        const ClaimRequest& request);

  std::unordered_map<std::string, Claim> claims_;
};

}  // namespace qh

#endif  // QH_REQUESTS_CLAIMS_CLAIM_TABLE_H_
