#include "qh_gateway/control/rollout_control.h"

namespace qh {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kFirstNonSuccess = 300;

bool IsSuccess(const CallReply& reply) {
  return reply.outcome == HttpCallOutcome::kAnswered && reply.status >= kOk &&
         reply.status < kFirstNonSuccess;
}

uint64_t SumOf(const RouteCounts& routes, uint64_t ResponseCounts::*member) {
  uint64_t sum = 0;
  for (const auto& [route, counts] : routes) {
    sum += counts.*member;
  }
  return sum;
}

}  // namespace

RolloutControl::RolloutControl(GatewayState& state)
    : state_(state),
      connection_(state.io,
                  state.settings.store_address,
                  state.codec.store,
                  state.store_epoch,
                  state.byte_budget) {}

StoredRollout RolloutControl::Read(const StoredObject& object) {
  StoredRollout rollout{.name = object.name, .revision = object.revision};
  const auto order = state_.codec.read_rollout(object);
  const auto status = state_.codec.read_rollout_status(object);
  if (status) {
    rollout.status = status.value();
  }
  if (order) {
    rollout.order = order.value();
  } else {
    rollout.mistake = order.error().detail();
  }
  // Writing the status raises the object's revision without making it a new
  // order.
  uint64_t revision = object.revision;
  if (rollout.status && rollout.status->to == rollout.order.to &&
      rollout.status->order_revision > 0 &&
      rollout.status->order_revision < revision) {
    revision = rollout.status->order_revision;
  }
  rollout.order.version = {state_.store_epoch.current(), revision};
  const bool unreadable = !rollout.mistake.empty() || !status;
  if (unreadable && logged_[object.name] != object.revision) {
    logged_[object.name] = object.revision;
    state_.log.Write(
        LogLine(ToName(GatewayEvent::kRolloutIgnored))
            .With("object", object.name)
            .With("revision", object.revision)
            .With("why", rollout.mistake.empty() ? status.error().detail()
                                                 : rollout.mistake),
        GatewayEvent::kRolloutIgnored);
  }
  return rollout;
}

void RolloutControl::OnUpdate(const StoreUpdate& update) {
  if (!update.since) {
    OnList(update);
    return;
  }
  for (const StoredObject& object : update.objects) {
    if (object.removed) {
      OnRemoved(object.name, {update.version.epoch, object.revision});
    } else {
      OnObject(object);
    }
  }
}

void RolloutControl::OnList(const StoreUpdate& list) {
  objects_.TakeList(list.objects, list.version);
  std::vector<StoredRollout> rollouts;
  for (const StoredObject& object : objects_.All()) {
    rollouts.push_back(Read(object));
  }
  state_.rollouts.OnList(rollouts, MonotonicNow());
}

void RolloutControl::OnObject(const StoredObject& object) {
  if (objects_.TakeObject(object, state_.store_epoch.current())) {
    state_.rollouts.OnObject(Read(object), MonotonicNow());
  }
}

void RolloutControl::OnRemoved(const std::string& name,
                               const StoreVersion& version) {
  if (objects_.TakeRemoval(name, version)) {
    logged_.erase(name);
    state_.rollouts.OnRemoved(name, MonotonicNow());
  }
}

void RolloutControl::OnTick(size_t known_nodes,
                            bool may_write,
                            Duration uptime,
                            TimePoint now) {
  may_write_ = may_write;
  state_.rollouts.OnTick(known_nodes, may_write, uptime, now);
  for (const RolloutStep& step : state_.rollouts.TakeSteps()) {
    state_.log.Write(
        LogLine(ToName(GatewayEvent::kRolloutStep))
            .With("service", step.order.service)
            .With("to", step.order.to)
            .With("phase", ToName(step.phase))
            .With("why", step.reason)
            .With("age_ms", ToMilliseconds(step.age))
            .With("duration_ms", ToMilliseconds(step.order.duration))
            .With("new_requests", step.new_counts.requests)
            .With("new_failures", step.new_counts.failures)
            .With("new_slow", step.new_counts.slow)
            .With("nodes_heard", step.nodes_heard)
            .With("report_age_ms_below",
                  ToMilliseconds(ServiceRollout::kFreshTime))
            .With("epoch", step.order.version.epoch)
            .With("revision", step.order.version.revision),
        GatewayEvent::kRolloutStep);
  }
  if (!may_write || stopped_ || write_open_ || now < no_write_before_) {
    return;
  }
  if (const auto write = state_.rollouts.NextWrite(now)) {
    StartWrite(*write);
  }
}

void RolloutControl::StartWrite(const RolloutWrite& write) {
  write_open_ = true;
  connection_.Send(
      state_.codec.store.get(state_.codec.rollout_kind, write.name),
      kCallTimeout,
      [this, name = write.name, known = objects_.VersionOf(write.name)](
          const CallReply& reply) { OnRead(name, known, reply); });
}

void RolloutControl::OnRead(const std::string& name,
                            const StoreVersion& known,
                            const CallReply& reply) {
  if (reply.outcome == HttpCallOutcome::kAnswered &&
      reply.status == kNotFound) {
    OnRemoved(name, known);
    EndWrite(true);
    return;
  }
  const auto object =
      IsSuccess(reply)
          ? state_.codec.store.read_object(reply.body)
          : Result<StoredObject>(Error(ErrorKind::kPeerMalformed, "no answer"));
  if (!object || object.value().name != name) {
    EndWrite(false);
    return;
  }
  OnObject(object.value());
  const auto write = state_.rollouts.NextWrite(MonotonicNow());
  const StoredObject* latest = objects_.Find(name);
  if (!write || write->name != name || latest == nullptr || !may_write_ ||
      stopped_) {
    EndWrite(true);
    return;
  }
  connection_.Send(
      state_.codec.store.replace_status(
          state_.codec.rollout_kind,
          {.name = name,
           .revision = write->revision,
           .content = latest->content,
           .status = state_.codec.write_rollout_status(write->status)}),
      kCallTimeout, [this, write = *write](const CallReply& sent) {
        OnWritten(write, sent);
      });
}

void RolloutControl::OnWritten(const RolloutWrite& write,
                               const CallReply& reply) {
  const bool succeeded = IsSuccess(reply);
  state_.log.Write(LogLine(ToName(GatewayEvent::kRolloutStored))
                       .With("object", write.name)
                       .With("to", write.status.to)
                       .With("state", ToName(write.status.state))
                       .With("why", write.status.reason)
                       .With("revision", write.revision)
                       .With("outcome", succeeded ? "done" : "failed")
                       .With("status", reply.status),
                   GatewayEvent::kRolloutStored);
  if (succeeded) {
    // The reply may state the object's new revision.
    const auto object = state_.codec.store.read_object(reply.body);
    if (object && object.value().name == write.name &&
        object.value().status != "null") {
      OnObject(object.value());
    }
  }
  EndWrite(succeeded);
}

void RolloutControl::EndWrite(bool succeeded) {
  write_open_ = false;
  if (!succeeded) {
    no_write_before_ = MonotonicNow() + kRetryDelay;
  }
}

void RolloutControl::SetMetrics(TimePoint now) {
  for (const auto& [service, rollout] : state_.rollouts.rollouts()) {
    const VersionCounts counts = rollout.Totals();
    const auto set = [&, name = service](const char* metric,
                                         uint64_t ResponseCounts::*member) {
      state_.metrics.Set(
          {.name = metric, .request_class = name, .reason = "old"},
          static_cast<double>(SumOf(counts.old_version, member)));
      state_.metrics.Set(
          {.name = metric, .request_class = name, .reason = "new"},
          static_cast<double>(SumOf(counts.new_version, member)));
    };
    set("gateway_rollout_responses", &ResponseCounts::requests);
    set("gateway_rollout_failures", &ResponseCounts::failures);
    set("gateway_rollout_slow", &ResponseCounts::slow);
    for (const auto& row : kEnumNames<RolloutPhase>) {
      state_.metrics.Set({.name = "gateway_rollout_phase",
                          .request_class = service,
                          .reason = std::string(row.name)},
                         rollout.phase() == row.value ? 1 : 0);
    }
    state_.metrics.Set(
        {.name = "gateway_rollout_exposed", .request_class = service},
        static_cast<double>(rollout.budget().exposed()));
    state_.metrics.Set(
        {.name = "gateway_rollout_open_at_old", .request_class = service},
        static_cast<double>(rollout.Report(now).open_at_old));
  }
}

void RolloutControl::Stop() {
  stopped_ = true;
  connection_.Reset();
}

}  // namespace qh
