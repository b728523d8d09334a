#include "qh_requests/claims/claim_table.h"

namespace qh {
namespace {

ClaimAnswer Refusal(const ClaimRequest& request, ErrorKind error) {
  return {.request_id = request.request_id,
          .decision = ClaimDecision::kRefused,
          .error = error};
}

}  // namespace

void ClaimTable::Apply(const ClaimRecord& record) {
  if (record.kind == ClaimRecordKind::kClaim) {
    ApplyClaim(record);
  } else {
    ApplyOutcome(record);
  }
}

void ClaimTable::ApplyClaim(const ClaimRecord& record) {
  const auto it = claims_.find(record.key);
  if (it != claims_.end()) {
    const Claim& held = it->second;
    // A released ask has ended; its late claim must not hold the key.
    if (held.state != State::kReleased ||
        held.request_id == record.request_id) {
      return;
    }
  }
  claims_[record.key] = {.state = State::kRunning,
                         .fingerprint = record.fingerprint,
                         .request_id = record.request_id,
                         .claimant = record.claimant,
                         .written_ms = record.written_ms,
                         .runs_until_ms = record.runs_until_ms};
}

void ClaimTable::ApplyOutcome(const ClaimRecord& record) {
  const auto it = claims_.find(record.key);
  if (it == claims_.end()) {
    claims_[record.key].request_id = record.request_id;
  } else if (it->second.request_id != record.request_id ||
             it->second.state != State::kRunning) {
    return;
  }
  Claim& claim = claims_[record.key];
  claim.fingerprint = record.fingerprint;
  claim.written_ms = record.written_ms;
  switch (record.outcome) {
    case OutcomeKind::kAnswered:
      claim.state = State::kAnswered;
      claim.answer_stored = record.answer_stored;
      claim.answer = record.answer;
      return;
    case OutcomeKind::kNotDispatched:
      claim.state = State::kReleased;
      return;
    case OutcomeKind::kUnknown:
      claim.state = State::kUnknown;
      return;
  }
}

std::optional<ClaimAnswer> ClaimTable::Evaluate(
    const ClaimRequest& request,
    uint64_t wall_ms,
    const std::set<InstanceId>& dead) const {
  const auto it = claims_.find(request.key);
  if (it == claims_.end()) {
    return std::nullopt;
  }
  const Claim& claim = it->second;
  if (claim.state == State::kReleased) {
    if (claim.request_id == request.request_id) {
      return Refusal(request, ErrorKind::kClaimUnavailable);
    }
    return std::nullopt;
  }
  if (claim.fingerprint != request.fingerprint) {
    return Refusal(request, ErrorKind::kIdempotencyKeyReused);
  }
  if (claim.state != State::kRunning) {
    return AnswerFromEndedRun(claim, request);
  }
  if (claim.request_id == request.request_id) {
    return ClaimAnswer{.request_id = request.request_id,
                       .decision = ClaimDecision::kWon};
  }
  const bool running =
      wall_ms <= claim.runs_until_ms && !dead.contains(claim.claimant);
  return Refusal(request, running ? ErrorKind::kRequestInProgress
                                  : ErrorKind::kOutcomeUnknown);
}

ClaimAnswer ClaimTable::AnswerFromEndedRun(const Claim& claim,
                                           const ClaimRequest& request) {
  if (claim.state == State::kUnknown) {
    return Refusal(request, ErrorKind::kOutcomeUnknown);
  }
  if (!claim.answer_stored) {
    return Refusal(request, ErrorKind::kAnswerNotKept);
  }
  return {.request_id = request.request_id,
          .decision = ClaimDecision::kReplayed,
          .answer = claim.answer};
}

void ClaimTable::Expire(uint64_t before_ms) {
  std::erase_if(claims_, [&](const auto& item) {
    return item.second.written_ms < before_ms;
  });
}

}  // namespace qh
