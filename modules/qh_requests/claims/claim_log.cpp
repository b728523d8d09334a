#include "qh_requests/claims/claim_log.h"

#include <algorithm>
#include <cstdio>

#include "qh_core/statechart/state_chart.h"

namespace qh {
namespace {

using Chart = BoundChart<ClaimLogState, ClaimLogEvent>;

constexpr std::string_view kChartText =
#include "claim_log.chart"
    ;

const Chart& LogChart() {
  static const Chart chart = Chart::Bind(kChartText).value();
  return chart;
}

std::string FormatKey(const char* format, uint32_t partition, uint64_t number) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), format, partition,
                static_cast<unsigned long long>(number));
  return text.data();
}

std::string PartitionPrefix(uint32_t partition) {
  return FormatKey("claims/%02u/", partition, 0);
}

// Whether `b` is at least `gap` after `a`. Duration::min() as `a` stands for
// "never".
bool HasElapsed(TimePoint a, Duration gap, TimePoint b) {
  return a.time_since_epoch() == Duration::min() || b - a >= gap;
}

}  // namespace

Result<ClaimLog> ClaimLog::Create(uint32_t partition,
                                  ClaimLogSettings settings,
                                  uint64_t seed) {
  if (partition >= kClaimPartitions) {
    return Error(ErrorKind::kConfigInvalid, "claim partition is out of range");
  }
  return ClaimLog(partition, settings, seed);
}

ClaimLog::ClaimLog(uint32_t partition, ClaimLogSettings settings, uint64_t seed)
    : partition_(partition),
      settings_(settings),
      rng_(seed, partition),
      state_(LogChart().initial()) {}

bool ClaimLog::Transition(ClaimLogEvent event) {
  const auto next = LogChart().Next(state_, event);
  if (next) {
    state_ = *next;
  }
  return next.has_value();
}

uint64_t ClaimLog::WallMs(TimePoint now) const {
  const Duration wall = now.time_since_epoch() + settings_.wall_offset;
  return static_cast<uint64_t>(std::max<int64_t>(wall.count(), 0) / 1000);
}

std::string ClaimLog::SlotKey(uint64_t sequence) const {
  return FormatKey("claims/%02u/log/%02llu", partition_,
                   sequence % kClaimRingSlots);
}

std::string ClaimLog::SegmentKey(uint64_t index) const {
  return FormatKey("claims/%02u/segment/%012llu", partition_, index);
}

ClaimLog::Actions ClaimLog::Submit(const ClaimRequest& request, TimePoint now) {
  const TimePoint expires_at =
      now + std::min(request.wait, settings_.max_request_wait);
  pending_requests_.push_back({.request = request, .expires_at = expires_at});
  return PerformDueWork(now);
}

ClaimLog::Actions ClaimLog::Report(const OutcomeReport& report, TimePoint now) {
  pending_outcomes_.push_back({report, now});
  return PerformDueWork(now);
}

ClaimLog::Actions ClaimLog::Tick(TimePoint now) {
  return PerformDueWork(now);
}

ClaimLog::Actions ClaimLog::OnStoreReply(uint64_t token,
                                         const StoreReply& reply,
                                         TimePoint now) {
  const auto call = calls_in_flight_.extract(token);
  if (call.empty()) {
    return {};
  }
  const Call& sent = call.mapped();
  if (sent.kind == CallKind::kSegmentPut) {
    OnSegmentPut(sent.segment, reply, now);
  } else if (sent.kind == CallKind::kSegmentDelete) {
    OnSegmentDelete(sent.segment, reply, now);
  } else if (state_ == ClaimLogState::kLoading) {
    OnList(reply, now);
  } else if (state_ == ClaimLogState::kWriting) {
    OnPut(reply, now);
  } else if (state_ == ClaimLogState::kReading) {
    OnGet(reply, now);
  }
  return PerformDueWork(now);
}

ClaimLog::Actions ClaimLog::PerformDueWork(TimePoint now) {
  Actions actions;
  AnswerRequests(actions, now);
  if (now < log_call_not_before_) {
    return actions;
  }
  const bool has_pending =
      !pending_requests_.empty() || !pending_outcomes_.empty();
  if (state_ == ClaimLogState::kUnloaded && has_pending) {
    SendList(actions, now);
  } else if (state_ == ClaimLogState::kUnsure) {
    SendGet(actions, now);
  } else if (state_ == ClaimLogState::kReady && IsBatchDue(now)) {
    SendBatch(actions, now);
  } else if (state_ == ClaimLogState::kReady) {
    // Such a verdict was not given yet because the log was read too long ago.
    const bool needs_log_end = std::any_of(
        pending_requests_.begin(), pending_requests_.end(),
        [&](const PendingRequest& pending) {
          return table_.Evaluate(pending.request, WallMs(now), dead_members_)
              .has_value();
        });
    if (needs_log_end) {
      SendGet(actions, now);
    }
  }
  SendSegment(actions, now);
  SendSegmentDelete(actions, now);
  return actions;
}

void ClaimLog::AnswerRequests(Actions& actions, TimePoint now) {
  const bool loaded =
      state_ != ClaimLogState::kUnloaded && state_ != ClaimLogState::kLoading;
  const bool is_fresh =
      !HasElapsed(log_end_read_at_, settings_.max_log_staleness, now);
  std::erase_if(pending_requests_, [&](const PendingRequest& pending) {
    std::optional<ClaimAnswer> verdict;
    if (loaded) {
      verdict = table_.Evaluate(pending.request, WallMs(now), dead_members_);
    }
    // The other run may have ended since the log was read.
    const bool may_have_changed =
        verdict && (verdict->error == ErrorKind::kRequestInProgress ||
                    verdict->error == ErrorKind::kOutcomeUnknown);
    if (may_have_changed && !is_fresh) {
      verdict.reset();
    }
    const bool is_full = loaded && table_.size() >= settings_.max_claims;
    if (!verdict && (now >= pending.expires_at || is_full)) {
      verdict = ClaimAnswer{.request_id = pending.request.request_id,
                            .decision = ClaimDecision::kRefused,
                            .error = ErrorKind::kClaimUnavailable};
    }
    if (verdict) {
      actions.push_back(
          {.kind = ClaimActionKind::kAnswer, .answer = std::move(*verdict)});
    }
    return verdict.has_value();
  });
}

bool ClaimLog::SlotMayBeOverwritten() const {
  const uint64_t block = next_sequence_ / kClaimBlockEntries;
  const uint64_t blocks_in_ring = kClaimRingSlots / kClaimBlockEntries;
  return block < blocks_in_ring || next_segment_ + blocks_in_ring > block;
}

bool ClaimLog::IsBatchDue(TimePoint now) const {
  if (!SlotMayBeOverwritten() ||
      !HasElapsed(last_batch_started_, settings_.flush_interval, now)) {
    return false;
  }
  const bool has_new_claim = std::any_of(
      pending_requests_.begin(), pending_requests_.end(),
      [&](const PendingRequest& pending) {
        return !table_.Evaluate(pending.request, WallMs(now), dead_members_);
      });
  return has_new_claim || (!pending_outcomes_.empty() &&
                           HasElapsed(pending_outcomes_.front().reported_at,
                                      settings_.max_outcome_delay, now));
}

bool ClaimLog::IsInFlight(CallKind kind) const {
  return std::any_of(
      calls_in_flight_.begin(), calls_in_flight_.end(),
      [&](const auto& item) { return item.second.kind == kind; });
}

void ClaimLog::SendToStore(Actions& actions, Call call, StoreRequest request) {
  const uint64_t token = next_token_++;
  calls_in_flight_[token] = call;
  actions.push_back({.kind = ClaimActionKind::kStore,
                     .token = token,
                     .request = std::move(request)});
}

void ClaimLog::SendList(Actions& actions, TimePoint now) {
  Transition(ClaimLogEvent::kListSent);
  log_call_started_ = now;
  SendToStore(actions, {.kind = CallKind::kLog},
              {.op = StoreOp::kList, .key = PartitionPrefix(partition_)});
}

void ClaimLog::SendGet(Actions& actions, TimePoint now) {
  Transition(ClaimLogEvent::kGetSent);
  log_call_started_ = now;
  SendToStore(actions, {.kind = CallKind::kLog},
              {.op = StoreOp::kGet, .key = SlotKey(next_sequence_)});
}

void ClaimLog::SendBatch(Actions& actions, TimePoint now) {
  batch_ = BuildBatch(now);
  Transition(ClaimLogEvent::kPutSent);
  log_call_started_ = now;
  last_batch_started_ = now;
  SendToStore(
      actions, {.kind = CallKind::kLog},
      {.op = StoreOp::kPut,
       .key = SlotKey(next_sequence_),
       .body = batch_->Encode(),
       .expected_version = slot_versions_[next_sequence_ % kClaimRingSlots]});
}

ClaimBatch ClaimLog::BuildBatch(TimePoint now) {
  ClaimBatch batch = {.sequence = next_sequence_, .nonce = rng_.Next()};
  const uint64_t wall_ms = WallMs(now);
  std::set<std::string> keys;
  for (PendingRequest& pending : pending_requests_) {
    const ClaimRequest& request = pending.request;
    if (batch.records.size() >= settings_.max_batch_records) {
      break;
    }
    if (table_.Evaluate(request, wall_ms, dead_members_) ||
        !keys.insert(request.key).second) {
      continue;
    }
    batch.records.push_back(
        {.kind = ClaimRecordKind::kClaim,
         .key = request.key,
         .fingerprint = request.fingerprint,
         .request_id = request.request_id,
         .written_ms = wall_ms,
         .claimant = request.claimant,
         .runs_until_ms =
             wall_ms + static_cast<uint64_t>(request.run_time.count() / 1000)});
  }
  batch_outcome_count_ = 0;
  size_t answer_bytes = 0;
  for (const PendingOutcome& pending : pending_outcomes_) {
    if (batch.records.size() >= settings_.max_batch_records) {
      break;
    }
    const OutcomeReport& report = pending.report;
    const size_t bytes =
        report.answer.body.size() + report.answer.content_type.size();
    const bool store_answer =
        report.kind == OutcomeKind::kAnswered &&
        bytes <= settings_.max_answer_bytes &&
        answer_bytes + bytes <= settings_.max_batch_answer_bytes;
    answer_bytes += store_answer ? bytes : 0;
    batch.records.push_back(
        {.kind = ClaimRecordKind::kOutcome,
         .key = report.key,
         .fingerprint = report.fingerprint,
         .request_id = report.request_id,
         .written_ms = wall_ms,
         .outcome = report.kind,
         .answer_stored = store_answer,
         .answer = store_answer ? report.answer : StoredAnswer()});
    ++batch_outcome_count_;
  }
  return batch;
}

void ClaimLog::Append(ClaimBatch entry, uint64_t slot_version) {
  slot_versions_[next_sequence_ % kClaimRingSlots] = slot_version;
  auto& block = open_blocks_[next_sequence_ / kClaimBlockEntries];
  for (ClaimRecord& record : entry.records) {
    table_.Apply(record);
    block.push_back(std::move(record));
  }
  ++next_sequence_;
}

void ClaimLog::StartBackoff(TimePoint now) {
  backoff_ =
      std::clamp(backoff_ * 2, settings_.min_backoff, settings_.max_backoff);
  log_call_not_before_ = now + backoff_;
}

void ClaimLog::Unload() {
  table_.Clear();
  open_blocks_.clear();
  segment_newest_ms_.clear();
  next_segment_ = 0;
  next_sequence_ = 0;
  slot_versions_.fill(kAbsentVersion);
  batch_.reset();
}

void ClaimLog::OnPut(const StoreReply& reply, TimePoint now) {
  switch (reply.status) {
    case StoreStatus::kOk:
      Transition(ClaimLogEvent::kPutOk);
      backoff_ = Duration::zero();
      log_end_read_at_ = log_call_started_;
      pending_outcomes_.erase(
          pending_outcomes_.begin(),
          pending_outcomes_.begin() + static_cast<long>(batch_outcome_count_));
      Append(std::move(*batch_), reply.object.version);
      batch_.reset();
      return;
    case StoreStatus::kThrottled:
    case StoreStatus::kUnavailable:
      Transition(ClaimLogEvent::kPutRefused);
      batch_.reset();
      return StartBackoff(now);
    default:
      Transition(ClaimLogEvent::kPutUnsure);
      return;
  }
}

void ClaimLog::OnGet(const StoreReply& reply, TimePoint now) {
  const uint64_t slot = next_sequence_ % kClaimRingSlots;
  if (reply.status == StoreStatus::kNotFound &&
      slot_versions_[slot] == kAbsentVersion) {
    Transition(ClaimLogEvent::kSlotFree);
    log_end_read_at_ = log_call_started_;
    // The write may still take effect. In that case the next write to this slot
    // fails with a conflict.
    batch_.reset();
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    Transition(ClaimLogEvent::kGetFailed);
    return StartBackoff(now);
  }
  auto entry = ClaimBatch::Decode(reply.object.body);
  if (!entry) {
    Transition(ClaimLogEvent::kGetFailed);
    return StartBackoff(now);
  }
  backoff_ = Duration::zero();
  if (entry.value().sequence < next_sequence_) {
    Transition(ClaimLogEvent::kSlotFree);
    log_end_read_at_ = log_call_started_;
    slot_versions_[slot] = reply.object.version;
    batch_.reset();
    return;
  }
  if (entry.value().sequence > next_sequence_) {
    Transition(ClaimLogEvent::kLogLapped);
    return Unload();
  }
  Transition(ClaimLogEvent::kEntryRead);
  if (batch_ && batch_->nonce == entry.value().nonce) {
    pending_outcomes_.erase(
        pending_outcomes_.begin(),
        pending_outcomes_.begin() + static_cast<long>(batch_outcome_count_));
  }
  batch_.reset();
  Append(std::move(entry).value(), reply.object.version);
}

}  // namespace qh
