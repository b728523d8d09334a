// The part of OrderController that starts the calls that are due: to the store,
// and orders to servers.

#include <algorithm>

#include "qh_fleet/order_controller.h"

namespace qh {

void OrderController::StartDueCalls(TimePoint now, Actions& actions) {
  if (!store_call_ && now >= next_store_call_at_) {
    StartStoreCall(actions);
  }
  if (state_ == UpgradeState::kWorking) {
    StartServerCalls(now, actions);
  }
}

void OrderController::StartStoreCall(Actions& actions) {
  switch (state_) {
    case UpgradeState::kNoLease:
    case UpgradeState::kSteppedDown:
      return;
    case UpgradeState::kLoading:
      if (desired_read_) {
        ReadObject(IntentKey(shard_), StoreCallPurpose::kReadIntent, actions);
      } else {
        ReadObject(DesiredKey(shard_), StoreCallPurpose::kReadDesired, actions);
      }
      return;
    case UpgradeState::kAdopting: {
      const bool newer =
          desired_ && (!intent_ || desired_->generation > intent_->generation);
      UpgradeIntent intent = intent_.value_or(UpgradeIntent());
      if (newer) {
        intent = {.generation = desired_->generation,
                  .targets = desired_->targets};
        unconfirmed_generation_ = intent.generation;
      }
      WriteIntent(std::move(intent), StoreCallPurpose::kAdopt, actions);
      return;
    }
    case UpgradeState::kWorking:
      break;
  }
  ReadObject(DesiredKey(shard_), StoreCallPurpose::kReadDesired, actions);
}

void OrderController::StartServerCalls(TimePoint now, Actions& actions) {
  const size_t limit = std::max<size_t>(
      1, available_servers_.size() / settings_.servers_per_order);
  size_t in_progress =
      std::count_if(trackers_.begin(), trackers_.end(), [](const auto& row) {
        return row.second.state() != OrderTrackerState::kGone &&
               row.second.in_progress();
      });
  for (auto& [server, tracker] : trackers_) {
    const auto present = available_servers_.find(server);
    if (present == available_servers_.end()) {
      continue;
    }
    const TimePoint safe_at = EarliestOrderTime(present->second);
    if (tracker.IsReadDue(now, safe_at) &&
        tracker.Apply(OrderTrackerEvent::kRead, now, rng_)) {
      server_calls_[++last_token_] = server;
      actions.push_back({.kind = OrderActionKind::kReadServer,
                         .token = last_token_,
                         .order = {.server = server}});
      continue;
    }
    const bool admitted = tracker.in_progress() || in_progress < limit;
    if (!tracker.IsSendDue(now) || now < safe_at || !admitted) {
      continue;
    }
    in_progress += tracker.in_progress() ? 0 : 1;
    actions.push_back({.kind = OrderActionKind::kSendOrder,
                       .token = ++last_token_,
                       .order = OrderFor(server, tracker)});
    server_calls_[last_token_] = server;
    tracker.Apply(OrderTrackerEvent::kSend, now, rng_);
  }
  if (!store_call_ && now >= store_retry_at_ && !intent_->completed &&
      AllSettled()) {
    UpgradeIntent intent = *intent_;
    intent.completed = true;
    WriteIntent(std::move(intent), StoreCallPurpose::kComplete, actions);
  }
}

void OrderController::ReadObject(const std::string& key,
                                 StoreCallPurpose purpose,
                                 Actions& actions) {
  store_call_ = {.token = ++last_token_, .purpose = purpose};
  actions.push_back({.kind = OrderActionKind::kStore,
                     .token = last_token_,
                     .request = {.op = StoreOp::kGet, .key = key}});
}

void OrderController::WriteIntent(UpgradeIntent intent,
                                  StoreCallPurpose purpose,
                                  Actions& actions) {
  intent.fencing = lease_.fencing;
  store_call_ = {.token = ++last_token_, .purpose = purpose, .written = intent};
  actions.push_back({.kind = OrderActionKind::kStore,
                     .token = last_token_,
                     .request = {.op = StoreOp::kPut,
                                 .key = IntentKey(shard_),
                                 .body = intent.Encode(),
                                 .expected_version = intent_version_}});
}

// Creates new trackers for the targets of intent_. Answers to earlier calls
// will be ignored.
void OrderController::ResetTrackers(TimePoint now) {
  server_calls_.clear();
  trackers_.clear();
  for (const auto& [server, target] : intent_->targets) {
    OrderTracker tracker(settings_.timing);
    if (!available_servers_.contains(server)) {
      tracker.Apply(OrderTrackerEvent::kServerGone, now, rng_);
    }
    trackers_.emplace(server, tracker);
  }
}

// A server that is not available does not block an upgrade. It is sent an order
// when it is available again.
bool OrderController::AllSettled() const {
  return std::all_of(trackers_.begin(), trackers_.end(), [&](const auto& row) {
    const auto present = available_servers_.find(row.first);
    if (present == available_servers_.end()) {
      return true;
    }
    const auto settled = row.second.settled_at();
    return row.second.state() == OrderTrackerState::kSettled &&
           *settled >= EarliestOrderTime(present->second);
  });
}

TimePoint OrderController::EarliestOrderTime(bool checks_fencing) const {
  return checks_fencing ? lease_.exclusive_since
                        : lease_.exclusive_since + settings_.order_lifetime +
                              settings_.clock_margin;
}

ServerOrder OrderController::OrderFor(const ServerId& server,
                                      const OrderTracker& tracker) const {
  std::string id =
      shard_ + "/" + std::to_string(intent_->generation) + "/" + server.value();
  if (tracker.repair() > 0) {
    id += "/" + std::to_string(lease_.fencing) + "." +
          std::to_string(tracker.repair());
  }
  return {.id = std::move(id),
          .server = server,
          .fencing = lease_.fencing,
          .target = intent_->targets.at(server),
          .send_before = lease_.usable_until};
}

}  // namespace qh
