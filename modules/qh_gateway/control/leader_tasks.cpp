// The part of LeaderTasks that holds the lease and orders servers.

#include "qh_gateway/control/leader_tasks.h"

#include <algorithm>

namespace qh {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyCalls = 429;
constexpr int kUnavailable = 503;

constexpr const char* kShard = "cloud-duties";
constexpr const char* kLeaseKind = "leases";
// The holder stops using the lease when this part (1/4) of its time is left.
constexpr int kLeaseMarginDivisor = 4;
// The holder renews the lease this many times within its duration.
constexpr int kLeaseRenewDivisor = 3;
// Poll interval of the other nodes in renewal intervals. Polling less often
// than the holder renews saves store calls.
constexpr int kPollFactor = 2;
// Duration of the lease in units of the configured lease time. A longer lease
// needs fewer store calls.
constexpr int kLeaseTimeFactor = 2;
// Smoothing factor of the prefill rates.
constexpr double kRateSmoothingFactor = 0.3;

// Returns the settings of a lease that lasts `lease`.
LeaseSettings SettingsFor(Duration lease) {
  return {.duration = lease,
          .margin = lease / kLeaseMarginDivisor,
          .renew_every = lease / kLeaseRenewDivisor,
          .poll_every = kPollFactor * lease / kLeaseRenewDivisor,
          .pause_limit = lease / kLeaseMarginDivisor};
}

// Maps the outcome of a store call to the status that the lease expects.
StoreStatus StatusOf(const CallReply& reply) {
  switch (reply.outcome) {
    case HttpCallOutcome::kNotSent:
      return StoreStatus::kUnavailable;
    case HttpCallOutcome::kNoAnswer:
      return StoreStatus::kAmbiguous;
    case HttpCallOutcome::kAnswered:
      break;
  }
  switch (reply.status) {
    case kOk:
      return StoreStatus::kOk;
    case kNotFound:
      return StoreStatus::kNotFound;
    case kConflict:
      return StoreStatus::kConflict;
    case kTooManyCalls:
      return StoreStatus::kThrottled;
    case kUnavailable:
      return StoreStatus::kUnavailable;
    default:
      return reply.status > kOk && reply.status < 300 ? StoreStatus::kOk
                                                      : StoreStatus::kAmbiguous;
  }
}

// Returns the name of the lease object with the key `key`, without its kind.
std::string LeaseObjectName(const std::string& key) {
  return key.substr(key.find('/') + 1);
}

}  // namespace

LeaderTasks::LeaderTasks(GatewayState& state,
                         std::string incarnation,
                         uint64_t seed)
    : state_(state),
      lease_(Lease::Create(kShard,
                           state.settings.node.value(),
                           std::move(incarnation),
                           SettingsFor(kLeaseTimeFactor * state.settings.lease),
                           seed)),
      store_(state.io,
             state.settings.store_address,
             state.codec.store,
             state.store_epoch,
             state.byte_budget),
      epoch_record_(state, store_),
      capacity_planner_(CapacityPlanner::Settings{}) {
  if (!state.settings.first_start) {
    lease_.BarClaims(BootNow() + lease_.settings().duration);
  }
  if (state_.settings.cloud_address) {
    cloud_ = HttpClient::Create(state_.io, *state_.settings.cloud_address,
                                state_.byte_budget);
  }
}

void LeaderTasks::Stop() {
  stopped_ = true;
  store_.Reset();
  if (cloud_ != nullptr) {
    cloud_->Stop();
  }
}

void LeaderTasks::OnStoreEpoch(uint64_t epoch, bool restored) {
  if (!restored) {
    lease_.SetStoreEpoch(epoch);
    epoch_record_.OnEpoch(epoch, restored);
    return;
  }
  store_.Reset();
  epoch_record_.OnEpoch(epoch, restored);
  report_step_ = ReportStep::kNone;
  RunLease(lease_.Advance(
      {.kind = LeaseEventKind::kStoreRestored, .store_epoch = epoch},
      BootNow()));
}

void LeaderTasks::OnPeerReported(int64_t window) {
  const Duration wall = state_.wall_clock.Now(MonotonicNow());
  if (window < state_.usage.WindowOf(wall)) {
    reported_window_ = std::max(reported_window_, window);
  }
}

void LeaderTasks::SetPeerPrefillRates(std::map<std::string, double> rates) {
  peer_prefill_rates_ = std::move(rates);
}

void LeaderTasks::OnTick(TimePoint now,
                         TimePoint boot_now,
                         size_t unresponsive_peers,
                         bool may_lead) {
  MeasurePrefillRates(now);
  const bool has_tasks = cloud_ != nullptr || state_.rollouts.enabled();
  if (!has_tasks || stopped_) {
    return;
  }
  // A stopping node doesn't release its lease but lets it expire. The next
  // holder has to wait for that, so the lease never changes hands quickly.
  if (!state_.draining_since) {
    const bool wanted = may_lead || is_leader_;
    if (lease_.wanted() != wanted) {
      RunLease(lease_.Advance(
          {.kind = wanted ? LeaseEventKind::kWant : LeaseEventKind::kRelease},
          boot_now));
    }
    RunLease(lease_.Advance({.kind = LeaseEventKind::kTick}, boot_now));
  }
  if (cloud_ == nullptr) {
    return;
  }
  const bool plan_due = now >= last_planned_at_ + kPlanInterval;
  if (plan_due) {
    last_planned_at_ = now;
    RunOrders(now);
  }
  if (MayAct()) {
    RunReports(now, unresponsive_peers);
  }
}

void LeaderTasks::RunLease(const std::vector<LeaseAction>& actions) {
  for (const LeaseAction& action : actions) {
    switch (action.kind) {
      case LeaseActionKind::kStore:
        SendLeaseCall(action);
        break;
      case LeaseActionKind::kAcquired:
        is_leader_ = true;
        report_step_ = ReportStep::kNone;
        next_window_.reset();
        capacity_planner_.Reset();
        state_.log.Write(LogLine(ToName(GatewayEvent::kLeaseAcquired))
                             .With("fencing", lease_.View(BootNow()).fencing),
                         GatewayEvent::kLeaseAcquired);
        break;
      case LeaseActionKind::kLost:
        is_leader_ = false;
        state_.log.Write(LogLine(ToName(GatewayEvent::kLeaseLost))
                             .With("state", ToName(lease_.state())),
                         GatewayEvent::kLeaseLost);
        break;
    }
  }
}

void LeaderTasks::SendLeaseCall(const LeaseAction& action) {
  const StoreProtocol& protocol = state_.codec.store;
  const StoreRequest& request = action.request;
  StoredObject object{.name = LeaseObjectName(request.key),
                      .content = request.body};
  HttpCall call;
  if (request.op == StoreOp::kGet) {
    call = protocol.get(kLeaseKind, object.name);
  } else if (request.expected_version == kAbsentVersion) {
    call = protocol.create(kLeaseKind, object);
  } else {
    object.revision = request.expected_version.value_or(0);
    call = protocol.replace(kLeaseKind, object);
  }
  store_.Send(std::move(call), kCallTimeout,
              [this, token = action.token](const CallReply& reply) {
                LeaseEvent event{.kind = LeaseEventKind::kReply,
                                 .token = token};
                event.reply.status = StatusOf(reply);
                if (event.reply.status == StoreStatus::kOk) {
                  const auto read = state_.codec.store.read_object(reply.body);
                  if (read) {
                    event.reply.object.version = read.value().revision;
                    event.reply.object.body = read.value().content;
                  } else {
                    event.reply.status = StoreStatus::kAmbiguous;
                  }
                }
                RunLease(lease_.Advance(event, BootNow()));
              });
}

bool LeaderTasks::MayAct() const {
  const TimePoint boot_now = BootNow();
  const LeaseView view = lease_.View(boot_now);
  return !stopped_ && !state_.draining_since && view.held &&
         boot_now + state_.settings.lease / kLeaseRenewDivisor / 2 <
             view.usable_until;
}

FencingToken LeaderTasks::CurrentFencing() const {
  return {.holder = state_.settings.node.value(),
          .fencing = lease_.View(BootNow()).fencing};
}

void LeaderTasks::MeasurePrefillRates(TimePoint now) {
  const Duration elapsed = now - rates_measured_at_;
  if (elapsed < kPlanInterval) {
    return;
  }
  rates_measured_at_ = now;
  for (const auto& [service, tokens] : state_.prefill_tokens) {
    const double rate =
        (tokens - previous_prefill_tokens_[service]) / ToMilliseconds(elapsed);
    double& smoothed = own_prefill_rates_[service];
    smoothed += kRateSmoothingFactor * (rate - smoothed);
  }
  previous_prefill_tokens_ = state_.prefill_tokens;
  for (const auto& [service, sends] : state_.sends) {
    const double rate = (sends - previous_sends_[service]) / ToSeconds(elapsed);
    double& smoothed = own_send_rates_[service];
    smoothed += kRateSmoothingFactor * (rate - smoothed);
  }
  previous_sends_ = state_.sends;
}

// Callers spread over the nodes, so that this node's requests stand for those
// of all.
double LeaderTasks::WithheldServers(const ServiceRule& service) const {
  std::vector<ServerId> servers;
  for (const ServerRecord* server : state_.directory.Usable(service.name)) {
    servers.push_back(server->id);
  }
  const auto found = own_send_rates_.find(service.name);
  if (found == own_send_rates_.end() || servers.empty()) {
    return 0;
  }
  const double rate_per_server = found->second *
                                 static_cast<double>(state_.node_count()) /
                                 static_cast<double>(servers.size());
  return state_.picker.rate_limits().WithheldServers(servers, rate_per_server);
}

ServiceDemand LeaderTasks::DemandOf(const ServiceRule& service) const {
  ServiceDemand demand;
  for (const ServerRecord* server : state_.directory.All()) {
    if (server->service == service.name) {
      demand.open_requests += state_.picker.load().At(server->id).requests;
    }
  }
  // Prompt tokens per millisecond, over all nodes.
  double prefill_rate = 0;
  for (const auto* rates : {&own_prefill_rates_, &peer_prefill_rates_}) {
    const auto found = rates->find(service.name);
    prefill_rate += found == rates->end() ? 0 : found->second;
  }
  // Prompt tokens per millisecond of an average server.
  const double server_rate = state_.picker.PrefillRate(service.name) *
                             state_.picker.Speeds(service.name).mean;
  demand.prefill_servers = prefill_rate / server_rate;
  demand.withheld_servers = WithheldServers(service);
  return demand;
}

void LeaderTasks::RunOrders(TimePoint now) {
  if (state_.config == nullptr || !state_.servers_listed) {
    return;
  }
  for (const ServiceRule& service : state_.config->services()) {
    if (!service.scaling) {
      continue;
    }
    const auto orders = capacity_planner_.Plan(service, DemandOf(service),
                                               state_.directory.All(), now);
    if (!MayAct() || orders_in_flight_ > 0 ||
        state_.rollouts.IsUnderWay(service.name)) {
      continue;
    }
    for (const CapacityOrder& order : orders) {
      SendOrder(order);
    }
  }
}

void LeaderTasks::SendOrder(const CapacityOrder& order) {
  ++orders_in_flight_;
  cloud_->Send(
      state_.codec.write_order(order, CurrentFencing()), kCallTimeout,
      [this, order](const CallReply& reply) {
        --orders_in_flight_;
        const bool accepted =
            reply.outcome == HttpCallOutcome::kAnswered && reply.status == kOk;
        state_.log.Write(LogLine(ToName(GatewayEvent::kOrderSent))
                             .With("service", order.service)
                             .With("domain", order.failure_domain.value())
                             .With("spot", order.spot)
                             .With("desired", order.desired)
                             .With("status", reply.status),
                         GatewayEvent::kOrderSent);
        if (accepted) {
          capacity_planner_.OnAccepted(order, MonotonicNow());
        } else {
          capacity_planner_.OnRefused(order, MonotonicNow());
        }
      });
}

}  // namespace qh
