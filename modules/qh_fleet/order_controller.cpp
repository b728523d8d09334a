#include "qh_fleet/order_controller.h"

#include <algorithm>

#include "qh_core/statechart/state_chart.h"

namespace qh {
namespace {

using Chart = BoundChart<UpgradeState, UpgradeStep>;

// Least wait before a store call is tried again; doubled by full jitter.
constexpr auto kStoreRetry = std::chrono::seconds(1);

constexpr std::string_view kChartText =
#include "upgrade.chart"
    ;

const Chart& UpgradeChart() {
  static const Chart chart = Chart::Bind(kChartText).value();
  return chart;
}

TrackStep StepOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return TrackStep::kAccepted;
    case OrderOutcome::kRefused:
      return TrackStep::kRefused;
    case OrderOutcome::kFailed:
      return TrackStep::kFailed;
    case OrderOutcome::kNoAnswer:
      return TrackStep::kNoAnswer;
  }
  return TrackStep::kNoAnswer;
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

std::optional<TrackState> OrderController::TrackOf(
    const ServerId& server) const {
  const auto found = tracks_.find(server);
  return found == tracks_.end() ? std::nullopt
                                : std::optional(found->second.state());
}

std::vector<OrderAction> OrderController::Advance(const OrderEvent& event,
                                                  const LeaseView& lease,
                                                  TimePoint now) {
  Actions actions;
  FollowLease(lease, now);
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
    Work(now, actions);
  }
  return actions;
}

bool OrderController::Take(UpgradeStep step) {
  const auto next = UpgradeChart().Next(state_, step);
  if (next) {
    state_ = *next;
  }
  return next.has_value();
}

// Forgets everything read under an earlier lease: another owner may have
// changed it since.
void OrderController::FollowLease(const LeaseView& lease, TimePoint now) {
  const bool changed =
      lease.held != lease_.held || lease.fencing != lease_.fencing;
  lease_ = lease;
  if (!changed) {
    return;
  }
  Take(UpgradeStep::kLeaseLost);
  call_.reset();
  server_calls_.clear();
  tracks_.clear();
  intent_.reset();
  desired_.reset();
  desired_read_ = false;
  starting_.reset();
  if (lease.held) {
    Take(UpgradeStep::kLeaseHeld);
    retry_at_ = now;
    next_call_at_ = now;
  }
}

void OrderController::OnServers(const std::vector<FleetServer>& servers,
                                TimePoint now) {
  present_.clear();
  for (const FleetServer& server : servers) {
    present_[server.id] = server.checks_fencing;
  }
  std::erase_if(server_calls_, [&](const auto& call) {
    return !present_.contains(call.second);
  });
  for (auto& [server, track] : tracks_) {
    track.Take(present_.contains(server) ? TrackStep::kServerBack
                                         : TrackStep::kServerGone,
               now, rng_);
  }
}

void OrderController::OnStoreReply(const OrderEvent& event,
                                   TimePoint now,
                                   Actions& actions) {
  if (!call_ || call_->token != event.token) {
    return;
  }
  const Call call = *call_;
  call_.reset();
  const StoreStatus status = event.store.status;
  const bool answered = status == StoreStatus::kOk ||
                        status == StoreStatus::kNotFound ||
                        status == StoreStatus::kConflict;
  retry_at_ =
      answered ? now : now + rng_.Between(kStoreRetry / 2, kStoreRetry * 2);
  next_call_at_ = retry_at_;
  switch (call.purpose) {
    case CallPurpose::kReadDesired:
      OnDesired(event.store, now);
      return;
    case CallPurpose::kReadIntent:
      OnIntent(event.store, now, actions);
      return;
    case CallPurpose::kAdopt:
      OnAdopted(call, event.store, now, actions);
      return;
    case CallPurpose::kComplete:
      OnCompleted(call, event.store, actions);
      return;
  }
}

void OrderController::OnDesired(const StoreReply& reply, TimePoint now) {
  if (reply.status == StoreStatus::kOk) {
    auto desired = DesiredState::Decode(reply.object.body);
    // A malformed desired state leaves the intent in force.
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
  next_call_at_ = now + settings_.poll_interval;
  const uint64_t known = intent_ ? intent_->generation : 0;
  if (desired_ && desired_->generation > known) {
    Take(UpgradeStep::kNewDesired);
    next_call_at_ = now;
  }
}

void OrderController::OnIntent(const StoreReply& reply,
                               TimePoint now,
                               Actions& actions) {
  if (reply.status == StoreStatus::kNotFound) {
    intent_.reset();
    intent_version_ = kAbsentVersion;
    Take(UpgradeStep::kLoaded);
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  intent_version_ = reply.object.version;
  const auto intent = UpgradeIntent::Decode(reply.object.body);
  if (!intent) {
    // Unreadable: replaced by one made from the desired state.
    intent_.reset();
    Take(UpgradeStep::kLoaded);
    return;
  }
  intent_ = intent.value();
  if (intent_->fencing > lease_.fencing) {
    // A newer owner has taken over.
    Take(UpgradeStep::kRefused);
    actions.push_back({.kind = OrderActionKind::kStepDown,
                       .fencing_floor = intent_->fencing});
    return;
  }
  const bool newest = !desired_ || desired_->generation <= intent_->generation;
  if (!newest || intent_->fencing != lease_.fencing) {
    Take(UpgradeStep::kLoaded);
    return;
  }
  // An earlier write of this owner took effect without an answer.
  Take(UpgradeStep::kAdopted);
  Begin(now, actions);
}

// Sets out to work on intent_, which is durable.
void OrderController::Begin(TimePoint now, Actions& actions) {
  if (starting_ == intent_->generation) {
    starting_.reset();
    actions.push_back({.kind = OrderActionKind::kUpgradeStarted,
                       .generation = intent_->generation});
  }
  Retarget(now);
}

void OrderController::OnAdopted(const Call& call,
                                const StoreReply& reply,
                                TimePoint now,
                                Actions& actions) {
  if (reply.status != StoreStatus::kOk) {
    Take(UpgradeStep::kUncertain);
    return;
  }
  intent_ = call.written;
  intent_version_ = reply.object.version;
  Take(UpgradeStep::kWritten);
  Begin(now, actions);
}

void OrderController::OnCompleted(const Call& call,
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
    Take(UpgradeStep::kIntentLost);
  }
}

void OrderController::OnOrderReply(const OrderEvent& event,
                                   TimePoint now,
                                   Actions& actions) {
  const auto call = server_calls_.find(event.token);
  if (call == server_calls_.end()) {
    return;
  }
  const auto track = tracks_.find(call->second);
  server_calls_.erase(call);
  if (track == tracks_.end()) {
    return;
  }
  track->second.Take(StepOf(event.order.outcome), now, rng_);
  if (event.order.outcome == OrderOutcome::kRefused &&
      Take(UpgradeStep::kRefused)) {
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
  const auto track = tracks_.find(server);
  if (track == tracks_.end()) {
    return;
  }
  TrackStep step = TrackStep::kNoAnswer;
  if (event.state.answered) {
    step = event.state.state == intent_->targets.at(server)
               ? TrackStep::kMatches
               : TrackStep::kDiffers;
  }
  track->second.Take(step, now, rng_);
}

void OrderController::Work(TimePoint now, Actions& actions) {
  if (!call_ && now >= next_call_at_) {
    CallStore(actions);
  }
  if (state_ == UpgradeState::kWorking) {
    CallServers(now, actions);
  }
}

void OrderController::CallStore(Actions& actions) {
  switch (state_) {
    case UpgradeState::kNoLease:
    case UpgradeState::kSteppedDown:
      return;
    case UpgradeState::kLoading:
      if (desired_read_) {
        Read(IntentKey(shard_), CallPurpose::kReadIntent, actions);
      } else {
        Read(DesiredKey(shard_), CallPurpose::kReadDesired, actions);
      }
      return;
    case UpgradeState::kAdopting: {
      const bool newer =
          desired_ && (!intent_ || desired_->generation > intent_->generation);
      UpgradeIntent intent = intent_.value_or(UpgradeIntent());
      if (newer) {
        intent = {.generation = desired_->generation,
                  .targets = desired_->targets};
        starting_ = intent.generation;
      }
      Write(std::move(intent), CallPurpose::kAdopt, actions);
      return;
    }
    case UpgradeState::kWorking:
      break;
  }
  Read(DesiredKey(shard_), CallPurpose::kReadDesired, actions);
}

void OrderController::CallServers(TimePoint now, Actions& actions) {
  const size_t limit =
      std::max<size_t>(1, present_.size() / settings_.servers_per_order);
  size_t in_progress =
      std::count_if(tracks_.begin(), tracks_.end(), [](const auto& row) {
        return row.second.state() != TrackState::kGone &&
               row.second.in_progress();
      });
  for (auto& [server, track] : tracks_) {
    const auto present = present_.find(server);
    if (present == present_.end()) {
      continue;
    }
    const TimePoint safe_at = SafeAt(present->second);
    if (track.ReadDue(now, safe_at) &&
        track.Take(TrackStep::kRead, now, rng_)) {
      server_calls_[++last_token_] = server;
      actions.push_back({.kind = OrderActionKind::kReadServer,
                         .token = last_token_,
                         .order = {.server = server}});
      continue;
    }
    const bool admitted = track.in_progress() || in_progress < limit;
    if (!track.SendDue(now) || now < safe_at || !admitted) {
      continue;
    }
    in_progress += track.in_progress() ? 0 : 1;
    actions.push_back({.kind = OrderActionKind::kSendOrder,
                       .token = ++last_token_,
                       .order = OrderFor(server, track)});
    server_calls_[last_token_] = server;
    track.Take(TrackStep::kSend, now, rng_);
  }
  if (!call_ && now >= retry_at_ && !intent_->completed && AllSettled()) {
    UpgradeIntent intent = *intent_;
    intent.completed = true;
    Write(std::move(intent), CallPurpose::kComplete, actions);
  }
}

void OrderController::Read(const std::string& key,
                           CallPurpose purpose,
                           Actions& actions) {
  call_ = {.token = ++last_token_, .purpose = purpose};
  actions.push_back({.kind = OrderActionKind::kStore,
                     .token = last_token_,
                     .request = {.op = StoreOp::kGet, .key = key}});
}

void OrderController::Write(UpgradeIntent intent,
                            CallPurpose purpose,
                            Actions& actions) {
  intent.fencing = lease_.fencing;
  call_ = {.token = ++last_token_, .purpose = purpose, .written = intent};
  actions.push_back({.kind = OrderActionKind::kStore,
                     .token = last_token_,
                     .request = {.op = StoreOp::kPut,
                                 .key = IntentKey(shard_),
                                 .body = intent.Encode(),
                                 .expected_version = intent_version_}});
}

// Starts over with the targets of intent_. Answers to earlier calls are
// dropped.
void OrderController::Retarget(TimePoint now) {
  server_calls_.clear();
  tracks_.clear();
  for (const auto& [server, target] : intent_->targets) {
    OrderTrack track(settings_.pace);
    if (!present_.contains(server)) {
      track.Take(TrackStep::kServerGone, now, rng_);
    }
    tracks_.emplace(server, track);
  }
}

// A server that is not there does not hold up an upgrade; it is ordered when it
// comes back.
bool OrderController::AllSettled() const {
  return std::all_of(tracks_.begin(), tracks_.end(), [&](const auto& row) {
    const auto present = present_.find(row.first);
    if (present == present_.end()) {
      return true;
    }
    const auto settled = row.second.settled_at();
    return row.second.state() == TrackState::kSettled &&
           *settled >= SafeAt(present->second);
  });
}

TimePoint OrderController::SafeAt(bool checks_fencing) const {
  return checks_fencing ? lease_.exclusive_since
                        : lease_.exclusive_since + settings_.order_lifetime +
                              settings_.clock_margin;
}

ServerOrder OrderController::OrderFor(const ServerId& server,
                                      const OrderTrack& track) const {
  std::string id =
      shard_ + "/" + std::to_string(intent_->generation) + "/" + server.value();
  if (track.repair() > 0) {
    id += "/" + std::to_string(lease_.fencing) + "." +
          std::to_string(track.repair());
  }
  return {.id = std::move(id),
          .server = server,
          .fencing = lease_.fencing,
          .target = intent_->targets.at(server),
          .send_before = lease_.usable_until};
}

}  // namespace qh
