#include "qh_platform/client/store_client.h"

#include <algorithm>

namespace qh {
namespace {

// Bounds the exponent in ScheduleRetry against overflow.
constexpr uint32_t kMaxDoublings = 10;

bool IsWrite(const StoreRequest& request) {
  return request.op == StoreOp::kPut || request.op == StoreOp::kDelete;
}

// Returns whether the outcome of `request` can be determined by reading the
// object: only that of a conditional put can.
bool CanReadBack(const StoreRequest& request) {
  return request.op == StoreOp::kPut && request.expected_version.has_value();
}

}  // namespace

StoreClient StoreClient::Create(const StoreClientSettings& settings,
                                uint64_t seed) {
  return {settings, seed};
}

StoreClient::StoreClient(const StoreClientSettings& settings, uint64_t seed)
    : settings_(settings), rate_limiter_(settings.rate_limits), rng_(seed) {}

std::vector<StoreClientAction> StoreClient::Advance(
    const StoreClientEvent& event,
    TimePoint now) {
  Actions actions;
  if (event.kind == StoreClientEventKind::kCall) {
    calls_[{event.call_class, event.token}] = {.request = event.request,
                                               .call_class = event.call_class,
                                               .deadline = event.deadline,
                                               .next_at = now};
  }
  if (event.kind == StoreClientEventKind::kReply) {
    OnReply(event, now, actions);
  }
  SendDueCalls(now, actions);
  UpdateOpenWatches(now);
  return actions;
}

void StoreClient::OnReply(const StoreClientEvent& event,
                          TimePoint now,
                          Actions& actions) {
  const auto found = std::find_if(
      calls_.begin(), calls_.end(),
      [&](const auto& row) { return row.second.in_flight == event.token; });
  if (event.token == 0 || found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.in_flight = 0;
  const bool probe = event.token == probe_;
  probe_ = probe ? 0 : probe_;
  const StoreStatus status = event.reply.status;
  const bool failed =
      status == StoreStatus::kUnavailable || status == StoreStatus::kAmbiguous;
  failures_ = failed ? failures_ + 1 : 0;
  if (failed && (probe || failures_ == settings_.failures_to_open)) {
    probe_at_ =
        now + rng_.Between(settings_.retry_max / 2, settings_.retry_max);
  }
  if (call.reads_back && !failed && status != StoreStatus::kThrottled) {
    OnReadBack(found, event.reply, now, actions);
    return;
  }
  const bool write_ambiguous =
      status == StoreStatus::kAmbiguous && IsWrite(call.request);
  if (write_ambiguous && !CanReadBack(call.request)) {
    Complete(found, event.reply, actions);
    return;
  }
  if (write_ambiguous && !call.reads_back) {
    call.ambiguous = true;
    call.reads_back = true;
    ScheduleRetry(call, now);
    return;
  }
  if (failed || status == StoreStatus::kThrottled) {
    ScheduleRetry(call, now);
    return;
  }
  if (status == StoreStatus::kConflict && call.ambiguous) {
    // The conflict may be with an earlier attempt at this write.
    call.reads_back = true;
    call.next_at = now;
    return;
  }
  Complete(found, event.reply, actions);
}

// Determines from the object whether a write that got no answer took effect.
void StoreClient::OnReadBack(Calls::iterator found,
                             const StoreReply& reply,
                             TimePoint now,
                             Actions& actions) {
  Call& call = found->second;
  const uint64_t expected = *call.request.expected_version;
  const uint64_t version =
      reply.status == StoreStatus::kOk ? reply.object.version : kAbsentVersion;
  if (version == expected) {
    // Not applied so far. The condition makes a second attempt safe.
    call.reads_back = false;
    call.next_at = now;
    return;
  }
  StoreReply answer = {.status = StoreStatus::kAmbiguous,
                       .object = reply.object};
  if (version == expected + 1) {
    answer.status = reply.object.body == call.request.body
                        ? StoreStatus::kOk
                        : StoreStatus::kConflict;
  }
  Complete(found, std::move(answer), actions);
}

void StoreClient::SendDueCalls(TimePoint now, Actions& actions) {
  for (auto found = calls_.begin(); found != calls_.end();) {
    Call& call = found->second;
    if (call.in_flight != 0) {
      ++found;
      continue;
    }
    if (now >= call.deadline || (circuit_open() && !MayProbe(now))) {
      const auto status =
          call.ambiguous ? StoreStatus::kAmbiguous : StoreStatus::kUnavailable;
      found = Complete(found, {.status = status}, actions);
      continue;
    }
    const StoreOp op = call.reads_back ? StoreOp::kGet : call.request.op;
    if (now < call.next_at || !rate_limiter_.Take(op, call.call_class, now)) {
      ++found;
      continue;
    }
    ++call.attempts;
    call.in_flight = ++last_token_;
    probe_ = circuit_open() ? call.in_flight : probe_;
    actions.push_back({.kind = StoreClientActionKind::kSend,
                       .call = found->first.second,
                       .token = call.in_flight,
                       .request = call.request});
    if (call.reads_back) {
      actions.back().request = {.op = StoreOp::kGet, .key = call.request.key};
    }
    ++found;
  }
}

// While the circuit is open, only one probe at a time may be sent.
bool StoreClient::MayProbe(TimePoint now) const {
  return probe_ == 0 && now >= probe_at_;
}

void StoreClient::ScheduleRetry(Call& call, TimePoint now) {
  const uint32_t doublings = std::min(call.attempts, kMaxDoublings);
  const Duration backoff = settings_.retry_base * (1ll << doublings);
  const Duration max_wait = std::min(settings_.retry_max, backoff);
  call.next_at = now + rng_.Between(Duration(0), max_wait);
}

StoreClient::Calls::iterator StoreClient::Complete(Calls::iterator call,
                                                   StoreReply reply,
                                                   Actions& actions) {
  actions.push_back({.kind = StoreClientActionKind::kAnswer,
                     .call = call->first.second,
                     .reply = std::move(reply)});
  return calls_.erase(call);
}

void StoreClient::UpdateOpenWatches(TimePoint now) {
  const auto open_watches =
      std::count_if(calls_.begin(), calls_.end(), [](const auto& row) {
        return row.second.in_flight != 0 &&
               row.second.request.op == StoreOp::kWatch;
      });
  rate_limiter_.set_open_watches(static_cast<uint32_t>(open_watches), now);
}

}  // namespace qh
