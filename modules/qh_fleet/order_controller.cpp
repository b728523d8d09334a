#include "qh_fleet/order_controller.h"

#include <algorithm>

#include "qh_core/statechart/state_chart.h"

namespace qh {
namespace {

using Chart = BoundChart<UpgradeState, UpgradeEvent>;

// Wait before a failed store call is tried again. Jitter spreads the wait
// between half and twice this time.
constexpr auto kStoreRetryBase = std::chrono::seconds(1);

constexpr std::string_view kChartText =
#include "upgrade.chart"
    ;

const Chart& UpgradeChart() {
  static const Chart chart = Chart::Bind(kChartText).value();
  return chart;
}

OrderTrackerEvent EventOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return OrderTrackerEvent::kAccepted;
    case OrderOutcome::kRefused:
      return OrderTrackerEvent::kRefused;
    case OrderOutcome::kFailed:
      return OrderTrackerEvent::kFailed;
    case OrderOutcome::kNoAnswer:
      return OrderTrackerEvent::kNoAnswer;
  }
  return OrderTrackerEvent::kNoAnswer;
}

}  // namespace

OrderController OrderController::Create(std::string shard,
                                        const OrderSettings& settings,
                                        uint64_t seed) {
  return {std::move(shard), settings, seed};
}

OrderController::OrderController(std::string shard,
                                 const OrderSettings& settings,
                                 uint64_t seed)
    : shard_(std::move(shard)),
      settings_(settings),
      rng_(seed),
      state_(UpgradeChart().initial()) {}

std::optional<OrderTrackerState> OrderController::TrackerStateOf(
    const ServerId& server) const {
  const auto found = trackers_.find(server);
  return found == trackers_.end() ? std::nullopt
                                  : std::optional(found->second.state());
}

std::vector<OrderAction> OrderController::Advance(const OrderEvent& event,
                                                  const LeaseView& lease,
                                                  TimePoint now) {
  Actions actions;
  UpdateLease(lease, now);
  switch (event.kind) {
    case OrderEventKind::kTick:
      break;
    case OrderEventKind::kServers:
      OnServers(event.servers, now);
      break;
    case OrderEventKind::kStoreReply:
      OnStoreReply(event, now, actions);
      break;
    case OrderEventKind::kOrderReply:
      OnOrderReply(event, now, actions);
      break;
    case OrderEventKind::kStateReply:
      OnStateReply(event, now);
      break;
  }
  if (lease_.held) {
    StartDueCalls(now, actions);
  }
  return actions;
}

bool OrderController::Apply(UpgradeEvent event) {
  const auto next = UpgradeChart().Next(state_, event);
  if (next) {
    state_ = *next;
  }
  return next.has_value();
}

// Discards everything read under an earlier lease: another owner may have
// changed it since.
void OrderController::UpdateLease(const LeaseView& lease, TimePoint now) {
  const bool changed =
      lease.held != lease_.held || lease.fencing != lease_.fencing;
  lease_ = lease;
  if (!changed) {
    return;
  }
  Apply(UpgradeEvent::kLeaseLost);
  store_call_.reset();
  server_calls_.clear();
  trackers_.clear();
  intent_.reset();
  desired_.reset();
  desired_read_ = false;
  unconfirmed_generation_.reset();
  if (lease.held) {
    Apply(UpgradeEvent::kLeaseHeld);
    store_retry_at_ = now;
    next_store_call_at_ = now;
  }
}

void OrderController::OnServers(const std::vector<FleetServer>& servers,
                                TimePoint now) {
  available_servers_.clear();
  for (const FleetServer& server : servers) {
    available_servers_[server.id] = server.checks_fencing;
  }
  std::erase_if(server_calls_, [&](const auto& call) {
    return !available_servers_.contains(call.second);
  });
  for (auto& [server, tracker] : trackers_) {
    tracker.Apply(available_servers_.contains(server)
                      ? OrderTrackerEvent::kServerBack
                      : OrderTrackerEvent::kServerGone,
                  now, rng_);
  }
}

void OrderController::OnStoreReply(const OrderEvent& event,
                                   TimePoint now,
                                   Actions& actions) {
  if (!store_call_ || store_call_->token != event.token) {
    return;
  }
  const StoreCall call = *store_call_;
  store_call_.reset();
  const StoreStatus status = event.store.status;
  const bool answered = status == StoreStatus::kOk ||
                        status == StoreStatus::kNotFound ||
                        status == StoreStatus::kConflict;
  store_retry_at_ =
      answered ? now
               : now + rng_.Between(kStoreRetryBase / 2, kStoreRetryBase * 2);
  next_store_call_at_ = store_retry_at_;
  switch (call.purpose) {
    case StoreCallPurpose::kReadDesired:
      OnDesired(event.store, now);
      return;
    case StoreCallPurpose::kReadIntent:
      OnIntent(event.store, now, actions);
      return;
    case StoreCallPurpose::kAdopt:
      OnAdopted(call, event.store, now, actions);
      return;
    case StoreCallPurpose::kComplete:
      OnCompleted(call, event.store, actions);
      return;
  }
}

void OrderController::OnDesired(const StoreReply& reply, TimePoint now) {
  if (reply.status == StoreStatus::kOk) {
    auto desired = DesiredState::Decode(reply.object.body);
    // A malformed desired state is ignored; the intent stays in force.
    if (desired &&
        (!desired_ || desired.value().generation > desired_->generation)) {
      desired_ = std::move(desired.value());
    }
  }
  desired_read_ = reply.status == StoreStatus::kOk ||
                  reply.status == StoreStatus::kNotFound || desired_read_;
  if (state_ != UpgradeState::kWorking) {
    return;
  }
  next_store_call_at_ = now + settings_.poll_interval;
  const uint64_t known = intent_ ? intent_->generation : 0;
  if (desired_ && desired_->generation > known) {
    Apply(UpgradeEvent::kNewDesired);
    next_store_call_at_ = now;
  }
}

void OrderController::OnIntent(const StoreReply& reply,
                               TimePoint now,
                               Actions& actions) {
  if (reply.status == StoreStatus::kNotFound) {
    intent_.reset();
    intent_version_ = kAbsentVersion;
    Apply(UpgradeEvent::kLoaded);
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  intent_version_ = reply.object.version;
  const auto intent = UpgradeIntent::Decode(reply.object.body);
  if (!intent) {
    // The intent is malformed. It is replaced by one made from the desired
    // state.
    intent_.reset();
    Apply(UpgradeEvent::kLoaded);
    return;
  }
  intent_ = intent.value();
  if (intent_->fencing > lease_.fencing) {
    // A newer owner has taken over.
    Apply(UpgradeEvent::kRefused);
    actions.push_back({.kind = OrderActionKind::kStepDown,
                       .fencing_floor = intent_->fencing});
    return;
  }
  const bool newest = !desired_ || desired_->generation <= intent_->generation;
  if (!newest || intent_->fencing != lease_.fencing) {
    Apply(UpgradeEvent::kLoaded);
    return;
  }
  // An earlier write by this owner took effect, but its answer was lost.
  Apply(UpgradeEvent::kAdopted);
  StartUpgrade(now, actions);
}

// Starts to carry out intent_, which is stored.
void OrderController::StartUpgrade(TimePoint now, Actions& actions) {
  if (unconfirmed_generation_ == intent_->generation) {
    unconfirmed_generation_.reset();
    actions.push_back({.kind = OrderActionKind::kUpgradeStarted,
                       .generation = intent_->generation});
  }
  ResetTrackers(now);
}

void OrderController::OnAdopted(const StoreCall& call,
                                const StoreReply& reply,
                                TimePoint now,
                                Actions& actions) {
  if (reply.status != StoreStatus::kOk) {
    Apply(UpgradeEvent::kUncertain);
    return;
  }
  intent_ = call.written;
  intent_version_ = reply.object.version;
  Apply(UpgradeEvent::kWritten);
  StartUpgrade(now, actions);
}

void OrderController::OnCompleted(const StoreCall& call,
                                  const StoreReply& reply,
                                  Actions& actions) {
  if (reply.status == StoreStatus::kOk) {
    intent_ = call.written;
    intent_version_ = reply.object.version;
    actions.push_back({.kind = OrderActionKind::kUpgradeCompleted,
                       .generation = intent_->generation});
    return;
  }
  if (reply.status == StoreStatus::kConflict ||
      reply.status == StoreStatus::kAmbiguous) {
    Apply(UpgradeEvent::kIntentLost);
  }
}

void OrderController::OnOrderReply(const OrderEvent& event,
                                   TimePoint now,
                                   Actions& actions) {
  const auto call = server_calls_.find(event.token);
  if (call == server_calls_.end()) {
    return;
  }
  const auto tracker = trackers_.find(call->second);
  server_calls_.erase(call);
  if (tracker == trackers_.end()) {
    return;
  }
  tracker->second.Apply(EventOf(event.order.outcome), now, rng_);
  if (event.order.outcome == OrderOutcome::kRefused &&
      Apply(UpgradeEvent::kRefused)) {
    actions.push_back({.kind = OrderActionKind::kStepDown,
                       .fencing_floor = event.order.fencing});
  }
}

void OrderController::OnStateReply(const OrderEvent& event, TimePoint now) {
  const auto call = server_calls_.find(event.token);
  if (call == server_calls_.end()) {
    return;
  }
  const ServerId server = call->second;
  server_calls_.erase(call);
  const auto tracker = trackers_.find(server);
  if (tracker == trackers_.end()) {
    return;
  }
  OrderTrackerEvent tracker_event = OrderTrackerEvent::kNoAnswer;
  if (event.state.answered) {
    tracker_event = event.state.state == intent_->targets.at(server)
                        ? OrderTrackerEvent::kMatches
                        : OrderTrackerEvent::kDiffers;
  }
  tracker->second.Apply(tracker_event, now, rng_);
}

}  // namespace qh
