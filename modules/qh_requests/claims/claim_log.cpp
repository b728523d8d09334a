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

std::string Numbered(const char* format, uint32_t partition, uint64_t number) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), format, partition,
                static_cast<unsigned long long>(number));
  return text.data();
}

std::string PartitionPrefix(uint32_t partition) {
  return Numbered("claims/%02u/", partition, 0);
}

// Whether time `b` lies at least `gap` after `a`; `a` may be the least time.
bool Passed(TimePoint a, Duration gap, TimePoint b) {
  return a.time_since_epoch() == Duration::min() || b - a >= gap;
}

}  // namespace

Result<ClaimLog> ClaimLog::Create(uint32_t partition,
                                  ClaimLogSettings settings,
                                  uint64_t seed) {
  if (partition >= kClaimPartitions) {
    return Error(ErrorKind::kConfigInvalid, "no such claim partition");
  }
  return ClaimLog(partition, settings, seed);
}

ClaimLog::ClaimLog(uint32_t partition, ClaimLogSettings settings, uint64_t seed)
    : partition_(partition),
      settings_(settings),
      rng_(seed, partition),
      state_(LogChart().initial()) {}

bool ClaimLog::Step(ClaimLogEvent event) {
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
  return Numbered("claims/%02u/log/%02llu", partition_,
                  sequence % kClaimRingSlots);
}

std::string ClaimLog::SegmentKey(uint64_t index) const {
  return Numbered("claims/%02u/segment/%012llu", partition_, index);
}

ClaimLog::Actions ClaimLog::Submit(const ClaimRequest& request, TimePoint now) {
  const TimePoint until =
      now + std::min(request.wait, settings_.max_request_wait);
  requests_.push_back({.request = request, .until = until});
  return Pump(now);
}

ClaimLog::Actions ClaimLog::Report(const OutcomeReport& report, TimePoint now) {
  outcomes_.push_back({report, now});
  return Pump(now);
}

ClaimLog::Actions ClaimLog::Tick(TimePoint now) {
  return Pump(now);
}

ClaimLog::Actions ClaimLog::OnStoreReply(uint64_t token,
                                         const StoreReply& reply,
                                         TimePoint now) {
  const auto call = calls_.extract(token);
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
  return Pump(now);
}

ClaimLog::Actions ClaimLog::Pump(TimePoint now) {
  Actions actions;
  AnswerRequests(actions, now);
  if (now < not_before_) {
    return actions;
  }
  const bool wanted = !requests_.empty() || !outcomes_.empty();
  if (state_ == ClaimLogState::kUnloaded && wanted) {
    SendList(actions, now);
  } else if (state_ == ClaimLogState::kUnsure) {
    SendGet(actions, now);
  } else if (state_ == ClaimLogState::kReady && BatchDue(now)) {
    SendBatch(actions, now);
  } else if (state_ == ClaimLogState::kReady) {
    const bool stale = std::any_of(
        requests_.begin(), requests_.end(), [&](const PendingRequest& pending) {
          return table_.Evaluate(pending.request, WallMs(now), dead_)
              .has_value();
        });
    if (stale) {
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
  const bool fresh = !Passed(synced_, settings_.freshness, now);
  std::erase_if(requests_, [&](const PendingRequest& pending) {
    std::optional<ClaimAnswer> verdict;
    if (loaded) {
      verdict = table_.Evaluate(pending.request, WallMs(now), dead_);
    }
    // Another run may have ended since the log was read.
    const bool may_have_changed =
        verdict && (verdict->error == ErrorKind::kRequestInProgress ||
                    verdict->error == ErrorKind::kOutcomeUnknown);
    if (may_have_changed && !fresh) {
      verdict.reset();
    }
    const bool full = loaded && table_.size() >= settings_.max_claims;
    if (!verdict && (now >= pending.until || full)) {
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

bool ClaimLog::SlotCovered() const {
  const uint64_t block = next_sequence_ / kClaimBlockEntries;
  const uint64_t blocks_in_ring = kClaimRingSlots / kClaimBlockEntries;
  return block < blocks_in_ring || segments_done_ + blocks_in_ring > block;
}

bool ClaimLog::BatchDue(TimePoint now) const {
  if (!SlotCovered() || !Passed(last_batch_, settings_.flush_interval, now)) {
    return false;
  }
  const bool claim = std::any_of(
      requests_.begin(), requests_.end(), [&](const PendingRequest& pending) {
        return !table_.Evaluate(pending.request, WallMs(now), dead_);
      });
  return claim || (!outcomes_.empty() && Passed(outcomes_.front().since,
                                                settings_.outcome_linger, now));
}

bool ClaimLog::InFlight(CallKind kind) const {
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& item) {
    return item.second.kind == kind;
  });
}

void ClaimLog::Send(Actions& actions, Call call, StoreRequest request) {
  const uint64_t token = next_token_++;
  calls_[token] = call;
  actions.push_back({.kind = ClaimActionKind::kStore,
                     .token = token,
                     .request = std::move(request)});
}

void ClaimLog::SendList(Actions& actions, TimePoint now) {
  Step(ClaimLogEvent::kListSent);
  call_started_ = now;
  Send(actions, {.kind = CallKind::kLog},
       {.op = StoreOp::kList, .key = PartitionPrefix(partition_)});
}

void ClaimLog::SendGet(Actions& actions, TimePoint now) {
  Step(ClaimLogEvent::kGetSent);
  call_started_ = now;
  Send(actions, {.kind = CallKind::kLog},
       {.op = StoreOp::kGet, .key = SlotKey(next_sequence_)});
}

void ClaimLog::SendBatch(Actions& actions, TimePoint now) {
  batch_ = MakeBatch(now);
  Step(ClaimLogEvent::kPutSent);
  call_started_ = now;
  last_batch_ = now;
  Send(actions, {.kind = CallKind::kLog},
       {.op = StoreOp::kPut,
        .key = SlotKey(next_sequence_),
        .body = batch_->Encode(),
        .expected_version = slot_versions_[next_sequence_ % kClaimRingSlots]});
}

ClaimBatch ClaimLog::MakeBatch(TimePoint now) {
  ClaimBatch batch = {.sequence = next_sequence_, .nonce = rng_.Next()};
  const uint64_t wall_ms = WallMs(now);
  std::set<std::string> keys;
  for (PendingRequest& pending : requests_) {
    const ClaimRequest& request = pending.request;
    if (batch.records.size() >= settings_.max_batch_records) {
      break;
    }
    if (table_.Evaluate(request, wall_ms, dead_) ||
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
  batch_outcomes_ = 0;
  size_t answer_bytes = 0;
  for (const PendingOutcome& pending : outcomes_) {
    if (batch.records.size() >= settings_.max_batch_records) {
      break;
    }
    const OutcomeReport& report = pending.report;
    const size_t bytes =
        report.answer.body.size() + report.answer.content_type.size();
    const bool kept = report.kind == OutcomeKind::kAnswered &&
                      bytes <= settings_.max_answer_bytes &&
                      answer_bytes + bytes <= settings_.max_batch_answer_bytes;
    answer_bytes += kept ? bytes : 0;
    batch.records.push_back({.kind = ClaimRecordKind::kOutcome,
                             .key = report.key,
                             .fingerprint = report.fingerprint,
                             .request_id = report.request_id,
                             .written_ms = wall_ms,
                             .outcome = report.kind,
                             .answer_stored = kept,
                             .answer = kept ? report.answer : StoredAnswer()});
    ++batch_outcomes_;
  }
  return batch;
}

void ClaimLog::Append(ClaimBatch entry, uint64_t slot_version) {
  slot_versions_[next_sequence_ % kClaimRingSlots] = slot_version;
  auto& block = blocks_[next_sequence_ / kClaimBlockEntries];
  for (ClaimRecord& record : entry.records) {
    table_.Apply(record);
    block.push_back(std::move(record));
  }
  ++next_sequence_;
}

void ClaimLog::BackOff(TimePoint now) {
  backoff_ =
      std::clamp(backoff_ * 2, settings_.min_backoff, settings_.max_backoff);
  not_before_ = now + backoff_;
}

void ClaimLog::Unload() {
  table_.Clear();
  blocks_.clear();
  segments_.clear();
  segments_done_ = 0;
  next_sequence_ = 0;
  slot_versions_.fill(kAbsentVersion);
  batch_.reset();
}

void ClaimLog::OnPut(const StoreReply& reply, TimePoint now) {
  switch (reply.status) {
    case StoreStatus::kOk:
      Step(ClaimLogEvent::kPutOk);
      backoff_ = Duration::zero();
      synced_ = call_started_;
      outcomes_.erase(outcomes_.begin(),
                      outcomes_.begin() + static_cast<long>(batch_outcomes_));
      Append(std::move(*batch_), reply.object.version);
      batch_.reset();
      return;
    case StoreStatus::kThrottled:
    case StoreStatus::kUnavailable:
      Step(ClaimLogEvent::kPutRefused);
      batch_.reset();
      return BackOff(now);
    default:
      Step(ClaimLogEvent::kPutUnsure);
      return;
  }
}

void ClaimLog::OnGet(const StoreReply& reply, TimePoint now) {
  const uint64_t slot = next_sequence_ % kClaimRingSlots;
  if (reply.status == StoreStatus::kNotFound &&
      slot_versions_[slot] == kAbsentVersion) {
    Step(ClaimLogEvent::kSlotFree);
    synced_ = call_started_;
    // The write may still take effect; then the next one meets it there.
    batch_.reset();
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    Step(ClaimLogEvent::kGetFailed);
    return BackOff(now);
  }
  auto entry = ClaimBatch::Decode(reply.object.body);
  if (!entry) {
    Step(ClaimLogEvent::kGetFailed);
    return BackOff(now);
  }
  backoff_ = Duration::zero();
  if (entry.value().sequence < next_sequence_) {
    Step(ClaimLogEvent::kSlotFree);
    synced_ = call_started_;
    slot_versions_[slot] = reply.object.version;
    batch_.reset();
    return;
  }
  if (entry.value().sequence > next_sequence_) {
    Step(ClaimLogEvent::kLogLapped);
    return Unload();
  }
  Step(ClaimLogEvent::kEntryRead);
  if (batch_ && batch_->nonce == entry.value().nonce) {
    outcomes_.erase(outcomes_.begin(),
                    outcomes_.begin() + static_cast<long>(batch_outcomes_));
  }
  batch_.reset();
  Append(std::move(entry).value(), reply.object.version);
}

}  // namespace qh
