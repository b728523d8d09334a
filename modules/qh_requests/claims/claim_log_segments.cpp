// Loading, segments and expiry of a claim log.

#include <algorithm>

#include "qh_requests/claims/claim_log.h"

namespace qh {
namespace {

constexpr Duration kExpiryInterval = std::chrono::minutes(1);

uint64_t NewestMs(const std::vector<ClaimRecord>& records) {
  uint64_t newest = 0;
  for (const ClaimRecord& record : records) {
    newest = std::max(newest, record.written_ms);
  }
  return newest;
}

void DropAnswers(std::vector<ClaimRecord>& records) {
  for (ClaimRecord& record : records) {
    record.answer_stored = false;
    record.answer = {};
  }
}

}  // namespace

void ClaimLog::OnList(const StoreReply& reply, TimePoint now) {
  if (reply.status != StoreStatus::kOk || !Load(reply, ExpiryMs(now))) {
    Unload();
    Step(ClaimLogEvent::kListFailed);
    return BackOff(now);
  }
  Step(ClaimLogEvent::kListOk);
  backoff_ = Duration::zero();
  synced_ = call_started_;
}

uint64_t ClaimLog::ExpiryMs(TimePoint now) const {
  const auto retention_ms =
      static_cast<uint64_t>(settings_.retention.count() / 1000);
  const uint64_t wall_ms = WallMs(now);
  return wall_ms < retention_ms ? 0 : wall_ms - retention_ms;
}

bool ClaimLog::LoadSegment(const ClaimBatch& segment, uint64_t expiry_ms) {
  // Without the segment before this one the list is torn, unless that one was
  // deleted after it expired.
  if (!segments_.empty() && segment.sequence != segments_done_ &&
      segments_.rbegin()->second >= expiry_ms) {
    return false;
  }
  segments_done_ = segment.sequence + 1;
  segments_[segment.sequence] = NewestMs(segment.records);
  for (const ClaimRecord& record : segment.records) {
    table_.Apply(record);
  }
  return true;
}

bool ClaimLog::Load(const StoreReply& reply, uint64_t expiry_ms) {
  Unload();
  const std::string log_prefix = SlotKey(0).substr(0, SlotKey(0).size() - 2);
  // Entries of the ring by position, with the slot's version.
  std::map<uint64_t, std::pair<ClaimBatch, uint64_t>> entries;
  for (const StoreObject& object : reply.objects) {
    auto batch = ClaimBatch::Decode(object.body);
    if (!batch) {
      return false;
    }
    ClaimBatch& read = batch.value();
    if (object.key.starts_with(log_prefix)) {
      const uint64_t sequence = read.sequence;
      entries[sequence] = {std::move(read), object.version};
    } else if (!LoadSegment(read, expiry_ms)) {
      return false;
    }
  }
  next_sequence_ = segments_done_ * kClaimBlockEntries;
  for (auto& [sequence, entry] : entries) {
    if (sequence > next_sequence_) {
      return false;
    }
    if (sequence == next_sequence_) {
      Append(std::move(entry.first), entry.second);
    } else {
      slot_versions_[sequence % kClaimRingSlots] = entry.second;
    }
  }
  return true;
}

void ClaimLog::SendSegment(Actions& actions, TimePoint now) {
  const uint64_t index = segments_done_;
  const bool complete = next_sequence_ >= (index + 1) * kClaimBlockEntries;
  if (!complete || InFlight(CallKind::kSegmentPut) ||
      now < segment_not_before_) {
    return;
  }
  ClaimBatch segment = {.sequence = index, .records = blocks_[index]};
  std::string body = segment.Encode();
  if (body.size() > settings_.max_segment_bytes) {
    DropAnswers(segment.records);
    body = segment.Encode();
  }
  Send(actions, {.kind = CallKind::kSegmentPut, .segment = index},
       {.op = StoreOp::kPut,
        .key = SegmentKey(index),
        .body = std::move(body),
        .expected_version = kAbsentVersion});
}

void ClaimLog::OnSegmentPut(uint64_t index,
                            const StoreReply& reply,
                            TimePoint now) {
  // After a conflict another writer has written the same records.
  const bool durable = reply.status == StoreStatus::kOk ||
                       reply.status == StoreStatus::kConflict;
  const auto block = blocks_.find(index);
  if (!durable) {
    segment_not_before_ = now + settings_.max_backoff;
  } else if (index == segments_done_ && block != blocks_.end()) {
    segments_[index] = NewestMs(block->second);
    blocks_.erase(block);
    ++segments_done_;
  }
}

void ClaimLog::SendSegmentDelete(Actions& actions, TimePoint now) {
  const uint64_t expiry_ms = ExpiryMs(now);
  if (last_expiry_.time_since_epoch() == Duration::min() ||
      now - last_expiry_ >= kExpiryInterval) {
    last_expiry_ = now;
    table_.Expire(expiry_ms);
  }
  // The newest segment stays: it tells where the ring goes on. Segments go one
  // by one, oldest first, so that no gap is left.
  if (segments_.size() < 2 || segments_.begin()->second >= expiry_ms ||
      InFlight(CallKind::kSegmentDelete) || now < segment_not_before_) {
    return;
  }
  const uint64_t index = segments_.begin()->first;
  Send(actions, {.kind = CallKind::kSegmentDelete, .segment = index},
       {.op = StoreOp::kDelete, .key = SegmentKey(index)});
}

void ClaimLog::OnSegmentDelete(uint64_t index,
                               const StoreReply& reply,
                               TimePoint now) {
  if (reply.status == StoreStatus::kOk ||
      reply.status == StoreStatus::kNotFound) {
    segments_.erase(index);
  } else {
    segment_not_before_ = now + settings_.max_backoff;
  }
}

}  // namespace qh
