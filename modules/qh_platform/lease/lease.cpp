#include "qh_platform/lease/lease.h"

#include <algorithm>

#include "qh_core/statechart/state_chart.h"

namespace qh {
namespace {

using Chart = BoundChart<LeaseState, LeaseStep>;

constexpr uint32_t kMaxRenewalsPerSecond = 100;
constexpr auto kMinRenewInterval = std::chrono::seconds(3);

constexpr std::string_view kChartText =
#include "lease.chart"
    ;

const Chart& LeaseChart() {
  static const Chart chart = Chart::Bind(kChartText).value();
  return chart;
}

}  // namespace

LeaseSettings LeaseSettings::ForFleet(uint32_t leases) {
  LeaseSettings settings;
  settings.renew_every =
      std::max<Duration>(kMinRenewInterval, std::chrono::seconds(1) * leases /
                                                kMaxRenewalsPerSecond);
  settings.duration = settings.renew_every * 10 / 3;
  settings.margin = settings.duration / 4;
  settings.poll_every = settings.renew_every;
  settings.pause_limit = settings.margin;
  return settings;
}

Lease Lease::Create(std::string shard,
                    std::string holder,
                    std::string incarnation,
                    const LeaseSettings& settings,
                    uint64_t seed) {
  return {std::move(shard), std::move(holder), std::move(incarnation), settings,
          seed};
}

Lease::Lease(std::string shard,
             std::string holder,
             std::string incarnation,
             const LeaseSettings& settings,
             uint64_t seed)
    : shard_(std::move(shard)),
      holder_(std::move(holder)),
      incarnation_(std::move(incarnation)),
      settings_(settings),
      rng_(seed),
      state_(LeaseChart().initial()) {}

bool Lease::InHeldState() const {
  return state_ == LeaseState::kHeld || state_ == LeaseState::kRenewing ||
         state_ == LeaseState::kChecking;
}

LeaseView Lease::View(TimePoint now) const {
  LeaseView view;
  view.held = InHeldState() && wanted_ && now < usable_until_ &&
              (!last_event_ || now - *last_event_ <= settings_.pause_limit);
  view.fencing = record_.fencing;
  view.usable_until = usable_until_;
  view.exclusive_since = exclusive_since_.value_or(now);
  return view;
}

std::vector<LeaseAction> Lease::Advance(const LeaseEvent& event,
                                        TimePoint now) {
  Actions actions;
  CheckExpiry(now, actions);
  last_event_ = now;
  switch (event.kind) {
    case LeaseEventKind::kWant:
      if (!wanted_ && InHeldState()) {
        actions.push_back({.kind = LeaseActionKind::kAcquired});
      }
      wanted_ = true;
      Transition(LeaseStep::kWant, now, actions);
      break;
    case LeaseEventKind::kRelease:
      fencing_floor_ = std::max(fencing_floor_, event.fencing_floor);
      if (wanted_ && InHeldState()) {
        actions.push_back({.kind = LeaseActionKind::kLost});
      }
      wanted_ = false;
      Transition(LeaseStep::kRelease, now, actions);
      break;
    case LeaseEventKind::kReply:
      OnReply(event, now, actions);
      break;
    case LeaseEventKind::kTick:
      OnTick(now, actions);
      break;
    case LeaseEventKind::kStoreRestored:
      SetStoreEpoch(event.store_epoch);
      OnStoreRestored(now, actions);
      break;
  }
  return actions;
}

void Lease::SetStoreEpoch(uint64_t epoch) {
  store_epoch_ = epoch;
  fencing_floor_ = std::max(fencing_floor_, epoch * kFencingPerEpoch);
}

void Lease::OnStoreRestored(TimePoint now, Actions& actions) {
  if (InHeldState()) {
    reclaim_until_ = usable_until_;
  }
  claims_barred_until_ = now + settings_.duration;
  // A reply to an earlier call is about the lease object of an earlier epoch.
  in_flight_ = false;
  version_ = kAbsentVersion;
  observed_since_.reset();
  exclusive_since_.reset();
  Transition(LeaseStep::kRestored, now, actions);
}

bool Lease::MayClaim(TimePoint now) const {
  return now >= claims_barred_until_ || now < reclaim_until_;
}

// Called before each event is handled, so that no event is handled under a
// lease that has expired since the last one.
void Lease::CheckExpiry(TimePoint now, Actions& actions) {
  if (!InHeldState()) {
    return;
  }
  const bool paused = last_event_ && now - *last_event_ > settings_.pause_limit;
  if (paused || now >= usable_until_) {
    Transition(LeaseStep::kLapse, now, actions);
  }
}

void Lease::OnTick(TimePoint now, Actions& actions) {
  if (state_ == LeaseState::kIdle && wanted_) {
    Transition(LeaseStep::kWant, now, actions);
    return;
  }
  if (in_flight_) {
    return;
  }
  if (state_ == LeaseState::kHeld && now >= next_at_) {
    Transition(LeaseStep::kRenew, now, actions);
    return;
  }
  if (state_ != LeaseState::kObserving) {
    return;
  }
  if (now < next_at_) {
    return;
  }
  const bool expired =
      observed_since_ && now - *observed_since_ >= record_.duration;
  Transition(expired ? LeaseStep::kExpired : LeaseStep::kPoll, now, actions);
}

void Lease::OnReply(const LeaseEvent& event, TimePoint now, Actions& actions) {
  if (!in_flight_ || event.token != token_) {
    return;
  }
  in_flight_ = false;
  const bool was_read =
      state_ == LeaseState::kReading || state_ == LeaseState::kChecking;
  if (!was_read) {
    OnWriteReply(event.reply, now, actions);
    return;
  }
  if (state_ == LeaseState::kReading && !wanted_) {
    Transition(LeaseStep::kRelease, now, actions);
    return;
  }
  Transition(ClassifyRead(event.reply, now), now, actions);
}

void Lease::OnWriteReply(const StoreReply& reply,
                         TimePoint now,
                         Actions& actions) {
  switch (reply.status) {
    case StoreStatus::kOk:
      record_ = written_;
      version_ = reply.object.version;
      Transition(LeaseStep::kWritten, now, actions);
      return;
    case StoreStatus::kConflict:
    case StoreStatus::kNotFound:
      Transition(LeaseStep::kConflict, now, actions);
      return;
    case StoreStatus::kThrottled:
    case StoreStatus::kUnavailable:
      Transition(LeaseStep::kNotWritten, now, actions);
      return;
    case StoreStatus::kAmbiguous:
      Transition(LeaseStep::kNoAnswer, now, actions);
      return;
  }
}

// Returns the chart event that a read of the record amounts to.
LeaseStep Lease::ClassifyRead(const StoreReply& reply, TimePoint now) {
  if (reply.status == StoreStatus::kNotFound) {
    record_.released = true;
    version_ = kAbsentVersion;
    observed_since_.reset();
    exclusive_since_.reset();
    return state_ == LeaseState::kChecking || !MayClaim(now)
               ? LeaseStep::kFoundHeld
               : LeaseStep::kFoundFree;
  }
  if (reply.status != StoreStatus::kOk) {
    return LeaseStep::kNoAnswer;
  }
  const auto record = LeaseRecord::Decode(reply.object.body);
  const bool own = record && record.value().incarnation == incarnation_ &&
                   !record.value().released;
  OnObserved(reply, now);
  if (!own) {
    exclusive_since_.reset();
    return record_.released && state_ == LeaseState::kReading
               ? LeaseStep::kFoundFree
               : LeaseStep::kFoundHeld;
  }
  const bool fresh = record_.nonce == written_.nonce &&
                     now < written_at_ + settings_.duration - settings_.margin;
  return state_ == LeaseState::kReading && fresh ? LeaseStep::kConfirmed
                                                 : LeaseStep::kFoundOwn;
}

// Stores the record that was read, and since when its version is unchanged.
void Lease::OnObserved(const StoreReply& reply, TimePoint now) {
  if (!observed_since_ || reply.object.version != version_) {
    observed_since_ = now;
  }
  version_ = reply.object.version;
  const uint64_t fencing = record_.fencing;
  const auto record = LeaseRecord::Decode(reply.object.body);
  if (record) {
    record_ = record.value();
  } else {
    // An unreadable record may belong to a live holder, so it is given the
    // duration that a record of this node would have.
    record_ = {.fencing = fencing, .duration = settings_.duration};
  }
}

void Lease::Transition(LeaseStep step, TimePoint now, Actions& actions) {
  const auto next = LeaseChart().Next(state_, step);
  if (!next) {
    return;
  }
  const LeaseState from = state_;
  const bool held = InHeldState();
  state_ = *next;
  if (held && !InHeldState() && wanted_) {
    actions.push_back({.kind = LeaseActionKind::kLost});
  }
  Enter(from, step, now, actions);
}

void Lease::Enter(LeaseState from,
                  LeaseStep step,
                  TimePoint now,
                  Actions& actions) {
  switch (state_) {
    case LeaseState::kIdle:
      in_flight_ = false;
      return;
    case LeaseState::kReading:
      // If the record still has the version that was seen before, it has been
      // unchanged since then, even if a write got no answer in between. The
      // observation is kept, so that an outage does not restart the wait.
      if (from != LeaseState::kObserving && from != LeaseState::kAcquiring) {
        observed_since_.reset();
      }
      [[fallthrough]];
    case LeaseState::kChecking:
      SendRead(actions);
      return;
    case LeaseState::kObserving:
      ScheduleRetry(now);
      if (from == LeaseState::kReading && observed_since_) {
        next_at_ = std::min(next_at_, *observed_since_ + record_.duration);
      }
      return;
    case LeaseState::kAcquiring:
    case LeaseState::kRenewing:
    case LeaseState::kReleasing:
      SendWrite(state_ == LeaseState::kReleasing, now, actions);
      return;
    case LeaseState::kHeld:
      break;
  }
  observed_since_.reset();
  const bool confirmed =
      step == LeaseStep::kWritten || step == LeaseStep::kConfirmed;
  if (confirmed) {
    usable_until_ = written_at_ + settings_.duration - settings_.margin;
    next_at_ = written_at_ + settings_.renew_every;
  } else {
    ScheduleRetry(now);
  }
  if (from == LeaseState::kAcquiring || from == LeaseState::kReading) {
    exclusive_since_ = exclusive_since_.value_or(now);
    if (wanted_) {
      actions.push_back({.kind = LeaseActionKind::kAcquired});
    }
  }
  if (!wanted_) {
    Transition(LeaseStep::kRelease, now, actions);
  }
}

void Lease::SendRead(Actions& actions) {
  in_flight_ = true;
  actions.push_back({.kind = LeaseActionKind::kStore,
                     .token = ++token_,
                     .request = {.op = StoreOp::kGet,
                                 .key = LeaseKey(shard_, store_epoch_)}});
}

void Lease::SendWrite(bool released, TimePoint now, Actions& actions) {
  const bool acquires = state_ == LeaseState::kAcquiring;
  written_ = {
      .holder = holder_,
      .incarnation = incarnation_,
      .nonce = rng_.Next() >> 1,
      .fencing = std::max(record_.fencing, fencing_floor_) + (acquires ? 1 : 0),
      .duration = settings_.duration,
      .released = released};
  written_at_ = now;
  in_flight_ = true;
  actions.push_back({.kind = LeaseActionKind::kStore,
                     .token = ++token_,
                     .request = {.op = StoreOp::kPut,
                                 .key = LeaseKey(shard_, store_epoch_),
                                 .body = written_.Encode(),
                                 .expected_version = version_}});
}

// Schedules the next attempt: sooner than the next renewal while the lease is
// held, otherwise within the poll interval.
void Lease::ScheduleRetry(TimePoint now) {
  const Duration interval =
      InHeldState() ? settings_.renew_every / 3 : settings_.poll_every;
  next_at_ = now + rng_.Between(interval / 2, interval);
}

}  // namespace qh
