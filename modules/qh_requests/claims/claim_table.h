// The claims of one partition, as the fold of its log's records in order.

#ifndef QH_REQUESTS_CLAIMS_CLAIM_TABLE_H_
#define QH_REQUESTS_CLAIMS_CLAIM_TABLE_H_

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "qh_requests/claims/claim_record.h"

namespace qh {

class ClaimTable {
 public:
  // Applies the next record of the log. The first claim of a key holds until a
  // kNotDispatched outcome of the same ask; all others are ignored.
  void Apply(const ClaimRecord& record);

  // Returns the verdict on `ask`, or nothing when the key is free. `wall_ms` is
  // the wall clock; a claimant in `dead` can't finish its run.
  std::optional<ClaimAnswer> Evaluate(const ClaimRequest& request,
                                      uint64_t wall_ms,
                                      const std::set<InstanceId>& dead) const;

  // Forgets claims last written before `before_ms`.
  void Expire(uint64_t before_ms);
  void Clear() { claims_.clear(); }

  size_t size() const { return claims_.size(); }

 private:
  enum class State { kRunning, kAnswered, kReleased, kUnknown };

  struct Claim {
    State state = State::kRunning;
    std::string fingerprint;
    RequestId request_id;
    InstanceId claimant;
    uint64_t written_ms = 0;
    uint64_t runs_until_ms = 0;
    bool answer_stored = false;
    StoredAnswer answer;
  };

  void ApplyClaim(const ClaimRecord& record);
  void ApplyOutcome(const ClaimRecord& record);
  static ClaimAnswer AnswerFromEndedRun(const Claim& claim,
                                        const ClaimRequest& request);

  std::unordered_map<std::string, Claim> claims_;
};

}  // namespace qh

#endif  // QH_REQUESTS_CLAIMS_CLAIM_TABLE_H_
