#include "qh_gateway/control/leader_tasks.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace qh {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyCalls = 429;
constexpr int kUnavailable = 503;

constexpr const char* kShard = "cloud-duties";
constexpr const char* kLeaseKind = "leases";
constexpr const char* kReportKind = "usage-reports";
// Share of the lease that the holder leaves unused at its end.
constexpr int kMarginDivisor = 4;
constexpr int kRenewDivisor = 3;
// Other nodes look at the lease less often than its holder renews it.
constexpr int kPollPart = 2;
// A record protects its holder for so many of the users' lease times, which
// keeps the calls few.
constexpr int kLeaseTimes = 2;
constexpr double kReadingWeight = 0.3;

LeaseSettings SettingsFor(Duration lease) {
  return {.duration = lease,
          .margin = lease / kMarginDivisor,
          .renew_every = lease / kRenewDivisor,
          .poll_every = kPollPart * lease / kRenewDivisor,
          .pause_limit = lease / kMarginDivisor};
}

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

std::string ReportName(int64_t window) {
  return "window-" + std::to_string(window);
}

std::string ReportContent(const UsageReport& report) {
  Json counts = Json::object();
  for (const auto& [team, count] : report.requests) {
    counts[team.value()] = count;
  }
  return Json{{"window", report.window}, {"requests", counts}}.dump();
}

Result<UsageReport> ReadReport(const std::string& content) {
  try {
    const Json json = Json::parse(content);
    UsageReport report{.window = json.at("window")};
    for (const auto& [team, count] : json.at("requests").items()) {
      report.requests[TeamId(team)] = count;
    }
    return report;
  } catch (const Json::exception& exception) {
    return Error(ErrorKind::kPeerMalformed, exception.what());
  }
}

}  // namespace

LeaderTasks::LeaderTasks(GatewayState& state,
                         std::string incarnation,
                         uint64_t seed)
    : state_(state),
      lease_(Lease::Create(kShard,
                           state.settings.node.value(),
                           std::move(incarnation),
                           SettingsFor(kLeaseTimes * state.settings.lease),
                           seed)),
      store_(HttpClient::Create(state.io, state.settings.store_address)),
      plan_(CapacityPlanner::Settings{}) {
  if (state_.settings.cloud_address) {
    cloud_ = HttpClient::Create(state_.io, *state_.settings.cloud_address);
  }
}

void LeaderTasks::Stop() {
  stopped_ = true;
  store_->Stop();
  if (cloud_ != nullptr) {
    cloud_->Stop();
  }
}

void LeaderTasks::SetPeerReading(std::map<std::string, double> reading) {
  peer_reading_ = std::move(reading);
}

void LeaderTasks::OnTick(TimePoint now, TimePoint boot, size_t silent_peers) {
  MeasureReading(now);
  if (cloud_ == nullptr || stopped_) {
    return;
  }
  // A stopping node lets its lease run out: whoever comes next waits for that,
  // so that two holders never alternate quickly.
  if (!state_.draining_since) {
    if (!lease_.wanted()) {
      RunLease(lease_.Advance({.kind = LeaseEventKind::kWant}, boot));
    }
    RunLease(lease_.Advance({.kind = LeaseEventKind::kTick}, boot));
  }
  const bool plan_due = now >= planned_at_ + kPlanInterval;
  if (plan_due) {
    planned_at_ = now;
    RunOrders(now);
  }
  if (MayAct()) {
    RunUsage(now, silent_peers);
  }
}

void LeaderTasks::RunLease(const std::vector<LeaseAction>& actions) {
  for (const LeaseAction& action : actions) {
    switch (action.kind) {
      case LeaseActionKind::kStore:
        SendLeaseCall(action);
        break;
      case LeaseActionKind::kAcquired:
        holds_ = true;
        step_ = ReportStep::kNone;
        next_window_.reset();
        plan_.Reset();
        state_.log.Write(LogLine(ToName(GatewayEvent::kLeaseAcquired))
                             .With("fencing", lease_.View(BootNow()).fencing),
                         GatewayEvent::kLeaseAcquired);
        break;
      case LeaseActionKind::kLost:
        holds_ = false;
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
  StoredObject object{.name = kShard, .content = request.body};
  HttpCall call;
  if (request.op == StoreOp::kGet) {
    call = protocol.get(kLeaseKind, kShard);
  } else if (request.expected_version == kAbsentVersion) {
    call = protocol.create(kLeaseKind, object);
  } else {
    object.revision = request.expected_version.value_or(0);
    call = protocol.replace(kLeaseKind, object);
  }
  store_->Send(std::move(call), kCallLimit,
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
  const TimePoint boot = BootNow();
  const LeaseView view = lease_.View(boot);
  return !stopped_ && !state_.draining_since && view.held &&
         boot + state_.settings.lease / kRenewDivisor / 2 < view.usable_until;
}

FencingToken LeaderTasks::Stamp() const {
  return {.holder = state_.settings.node.value(),
          .fencing = lease_.View(BootNow()).fencing};
}

void LeaderTasks::PauseUsage() {
  usage_paused_until_ = MonotonicNow() + kRetryPause;
}

// Reports the windows one after the other, each once it is complete.
void LeaderTasks::RunUsage(TimePoint now, size_t silent_peers) {
  const Duration wall = state_.wall_clock.Now(now);
  if (!next_window_) {
    // A holder before may have left windows unreported that are still due.
    const Duration oldest = wall - state_.settings.usage_due;
    next_window_ = state_.usage.WindowOf(oldest);
  }
  if (now < usage_paused_until_) {
    return;
  }
  if (step_ == ReportStep::kRecorded) {
    SendReport();
    return;
  }
  const Duration settle = silent_peers > 0 ? kSettleSilent : kSettle;
  const bool complete = wall >= state_.usage.EndOf(*next_window_) + settle;
  if (step_ == ReportStep::kNone && complete) {
    Record(*next_window_);
  }
}

void LeaderTasks::Record(int64_t window) {
  step_ = ReportStep::kRecording;
  report_ = {.window = window, .requests = state_.usage.Total(window)};
  store_->Send(
      state_.codec.store.create(
          kReportKind,
          {.name = ReportName(window), .content = ReportContent(report_)}),
      kCallLimit, [this](const CallReply& reply) { OnRecorded(reply); });
}

void LeaderTasks::OnRecorded(const CallReply& reply) {
  if (step_ != ReportStep::kRecording) {
    return;
  }
  const bool answered = reply.outcome == HttpCallOutcome::kAnswered;
  const bool created = answered && reply.status >= kOk && reply.status < 300;
  const bool exists = answered && reply.status == kConflict;
  if (!created && !exists) {
    // It may have been written all the same; creating again tells.
    step_ = ReportStep::kNone;
    PauseUsage();
    return;
  }
  if (exists) {
    FetchRecorded();
    return;
  }
  step_ = ReportStep::kRecorded;
  if (MayAct()) {
    SendReport();
  }
}

// Another holder recorded the window first; its counts are the ones to send.
void LeaderTasks::FetchRecorded() {
  store_->Send(
      state_.codec.store.get(kReportKind, ReportName(report_.window)),
      kCallLimit, [this](const CallReply& reply) {
        if (step_ != ReportStep::kRecording) {
          return;
        }
        const auto object =
            reply.outcome == HttpCallOutcome::kAnswered && reply.status == kOk
                ? state_.codec.store.read_object(reply.body)
                : Result<StoredObject>(
                      Error(ErrorKind::kStoreUnavailable, "not read"));
        const auto report = object ? ReadReport(object.value().content)
                                   : Result<UsageReport>(object.error());
        if (!report) {
          state_.log.Write(LogLine(ToName(GatewayEvent::kLeaderCallFailed))
                               .With("call", "read usage report")
                               .With("window", report_.window)
                               .With(report.error()),
                           GatewayEvent::kLeaderCallFailed);
          step_ = ReportStep::kNone;
          PauseUsage();
          return;
        }
        report_ = report.value();
        step_ = ReportStep::kRecorded;
      });
}

void LeaderTasks::SendReport() {
  step_ = ReportStep::kSending;
  cloud_->Send(state_.codec.write_usage(report_, Stamp()), kCallLimit,
               [this](const CallReply& reply) { OnReported(reply); });
}

void LeaderTasks::OnReported(const CallReply& reply) {
  if (step_ != ReportStep::kSending) {
    return;
  }
  const bool answered = reply.outcome == HttpCallOutcome::kAnswered;
  const bool retry =
      !answered || reply.status == kTooManyCalls || reply.status >= 500;
  uint64_t requests = 0;
  for (const auto& [team, count] : report_.requests) {
    requests += count;
  }
  const GatewayEvent event = retry || reply.status != kOk
                                 ? GatewayEvent::kLeaderCallFailed
                                 : GatewayEvent::kUsageReported;
  state_.log.Write(LogLine(ToName(event))
                       .With("call", "usage")
                       .With("window", report_.window)
                       .With("requests", requests)
                       .With("status", reply.status),
                   event);
  if (retry) {
    step_ = ReportStep::kRecorded;
    PauseUsage();
    return;
  }
  step_ = ReportStep::kNone;
  next_window_ = report_.window + 1;
}

void LeaderTasks::MeasureReading(TimePoint now) {
  const Duration elapsed = now - reading_at_;
  if (elapsed < kPlanInterval) {
    return;
  }
  reading_at_ = now;
  for (const auto& [service, tokens] : state_.prefill_tokens) {
    const double rate =
        (tokens - tokens_before_[service]) / ToMilliseconds(elapsed);
    double& smooth = own_reading_[service];
    smooth += kReadingWeight * (rate - smooth);
  }
  tokens_before_ = state_.prefill_tokens;
}

ServiceDemand LeaderTasks::DemandOf(const ServiceRule& service) const {
  ServiceDemand demand;
  for (const ServerRecord* server : state_.directory.All()) {
    if (server->service == service.name) {
      demand.open_requests += state_.picker.load().At(server->id).requests;
    }
  }
  double reading = 0;
  for (const auto* part : {&own_reading_, &peer_reading_}) {
    const auto found = part->find(service.name);
    reading += found == part->end() ? 0 : found->second;
  }
  demand.prefill_servers = reading / state_.picker.PrefillRate(service.name);
  return demand;
}

// Every node plans, so that a new holder knows the demand of the recent past;
// only the holder orders.
void LeaderTasks::RunOrders(TimePoint now) {
  if (state_.config == nullptr || !state_.servers_confirmed_at) {
    return;
  }
  for (const ServiceRule& service : state_.config->services()) {
    if (!service.scaling) {
      continue;
    }
    const auto orders =
        plan_.Plan(service, DemandOf(service), state_.directory.All(), now);
    if (!MayAct() || orders_in_flight_ > 0) {
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
      state_.codec.write_order(order, Stamp()), kCallLimit,
      [this, order](const CallReply& reply) {
        --orders_in_flight_;
        const bool taken =
            reply.outcome == HttpCallOutcome::kAnswered && reply.status == kOk;
        state_.log.Write(LogLine(ToName(GatewayEvent::kOrderSent))
                             .With("service", order.service)
                             .With("domain", order.failure_domain.value())
                             .With("spot", order.spot)
                             .With("desired", order.desired)
                             .With("status", reply.status),
                         GatewayEvent::kOrderSent);
        if (taken) {
          plan_.OnAccepted(order, MonotonicNow());
        } else {
          plan_.OnRefused(order, MonotonicNow());
        }
      });
}

}  // namespace qh
