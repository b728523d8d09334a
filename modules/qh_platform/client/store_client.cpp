#include "qh_platform/client/store_client.h"

#include <algorithm>

namespace qh {
namespace {

constexpr uint32_t kMaxDoublings = 10;

bool IsWrite(const StoreRequest& request) {
  return request.op == StoreOp::kPut || request.op == StoreOp::kDelete;
}

// Only a conditional put can be found again in the object.
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
  if (event.kind == StoreClientEventKind::kAsk) {
    calls_[{event.call_class, event.token}] = {.request = event.request,
                                               .call_class = event.call_class,
                                               .deadline = event.deadline,
                                               .next_at = now};
  }
  if (event.kind == StoreClientEventKind::kReply) {
    OnReply(event, now, actions);
  }
  Pump(now, actions);
  CountWatches(now);
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
  const bool write_unknown =
      status == StoreStatus::kAmbiguous && IsWrite(call.request);
  if (write_unknown && !CanReadBack(call.request)) {
    Answer(found, event.reply, actions);
    return;
  }
  if (write_unknown && !call.reads_back) {
    call.ambiguous = true;
    call.reads_back = true;
    Retry(call, now);
    return;
  }
  if (failed || status == StoreStatus::kThrottled) {
    Retry(call, now);
    return;
  }
  if (status == StoreStatus::kConflict && call.ambiguous) {
    // The conflict may be with an earlier try of this write.
    call.reads_back = true;
    call.next_at = now;
    return;
  }
  Answer(found, event.reply, actions);
}

// Tells from the object what became of a write without an answer.
void StoreClient::OnReadBack(Calls::iterator found,
                             const StoreReply& reply,
                             TimePoint now,
                             Actions& actions) {
  Call& call = found->second;
  const uint64_t expected = *call.request.expected_version;
  const uint64_t version =
      reply.status == StoreStatus::kOk ? reply.object.version : kAbsentVersion;
  if (version == expected) {
    // Not applied so far. The condition makes a second try safe.
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
  Answer(found, std::move(answer), actions);
}

void StoreClient::Pump(TimePoint now, Actions& actions) {
  for (auto found = calls_.begin(); found != calls_.end();) {
    Call& call = found->second;
    if (call.in_flight != 0) {
      ++found;
      continue;
    }
    if (now >= call.deadline || (is_open() && !MayTry(now))) {
      const auto status =
          call.ambiguous ? StoreStatus::kAmbiguous : StoreStatus::kUnavailable;
      found = Answer(found, {.status = status}, actions);
      continue;
    }
    const StoreOp op = call.reads_back ? StoreOp::kGet : call.request.op;
    if (now < call.next_at || !rate_limiter_.Take(op, call.call_class, now)) {
      ++found;
      continue;
    }
    ++call.tries;
    call.in_flight = ++last_token_;
    probe_ = is_open() ? call.in_flight : probe_;
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

// While the store is out, one probe at a time may go out.
bool StoreClient::MayTry(TimePoint now) const {
  return probe_ == 0 && now >= probe_at_;
}

void StoreClient::Retry(Call& call, TimePoint now) {
  const uint32_t doublings = std::min(call.tries, kMaxDoublings);
  const Duration grown = settings_.retry_base * (1ll << doublings);
  const Duration most = std::min(settings_.retry_max, grown);
  call.next_at = now + rng_.Between(Duration(0), most);
}

StoreClient::Calls::iterator StoreClient::Answer(Calls::iterator call,
                                                 StoreReply reply,
                                                 Actions& actions) {
  actions.push_back({.kind = StoreClientActionKind::kAnswer,
                     .call = call->first.second,
                     .reply = std::move(reply)});
  return calls_.erase(call);
}

void StoreClient::CountWatches(TimePoint now) {
  const auto watches =
      std::count_if(calls_.begin(), calls_.end(), [](const auto& row) {
        return row.second.in_flight != 0 &&
               row.second.request.op == StoreOp::kWatch;
      });
  rate_limiter_.set_waiting_watches(static_cast<uint32_t>(watches), now);
}

}  // namespace qh
