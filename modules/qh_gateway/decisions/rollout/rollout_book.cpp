#include "qh_gateway/decisions/rollout/rollout_book.h"

#include <algorithm>

namespace qh {
namespace {

// A process takes part in the tolerance if it started at least this long before
// the order. Covers errors of the order's age as peers report it.
constexpr Duration kStartSlack = std::chrono::seconds(1);

bool IsFailure(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kRejected:
    case AttemptOutcome::kUnreachable:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kUnresponsive:
      return true;
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kAbandoned:
      return false;
  }
  return false;
}

}  // namespace

RolloutBook::RolloutBook(std::optional<RolloutBounds> bounds,
                         const ServerDirectory& directory,
                         uint64_t seed)
    : bounds_(bounds), directory_(directory), rng_(seed) {}

ServiceRollout& RolloutBook::Adopt(const RolloutOrder& order,
                                   bool from_start,
                                   TimePoint now) {
  const auto known = rollouts_.find(order.service);
  if (known != rollouts_.end()) {
    const RolloutOrder& current = known->second.order();
    if (current.IsSameAs(order) || order.version <= current.version) {
      return known->second;
    }
    for (RolloutStep& step : known->second.TakeSteps()) {
      steps_.push_back(std::move(step));
    }
    if (known->second.phase() != RolloutPhase::kCompleted) {
      abandoned_[order.service].insert(current.to);
    }
    rollouts_.erase(known);
  }
  abandoned_[order.service].erase(order.to);
  ServiceRollout& rollout =
      rollouts_
          .emplace(order.service, ServiceRollout(order, *bounds_, from_start,
                                                 rng_.Next(), now))
          .first->second;
  UpdateServers(rollout);
  UpdateOpen(order.service);
  return rollout;
}

void RolloutBook::OnList(const std::vector<StoredRollout>& objects,
                         TimePoint now) {
  std::set<std::string> names;
  for (const StoredRollout& object : objects) {
    names.insert(object.name);
    OnObject(object, now);
  }
  const auto before = objects_;
  for (const auto& [name, object] : before) {
    if (!names.contains(name)) {
      OnRemoved(name, now);
    }
  }
  listed_ = true;
  knows_orders_ = true;
}

void RolloutBook::OnObject(const StoredRollout& object, TimePoint now) {
  objects_[object.name] = object;
  if (!enabled() || !object.mistake.empty()) {
    return;
  }
  ServiceRollout& rollout = Adopt(object.order, listed_, now);
  if (rollout.order().IsSameAs(object.order)) {
    rollout.OnStored(object.status, now);
  }
}

void RolloutBook::OnRemoved(const std::string& name, TimePoint now) {
  const auto object = objects_.find(name);
  if (object == objects_.end()) {
    return;
  }
  const auto known = rollouts_.find(object->second.order.service);
  if (known != rollouts_.end() &&
      known->second.order().IsSameAs(object->second.order)) {
    known->second.OnWithdrawn(now);
  }
  objects_.erase(object);
}

void RolloutBook::OnPeer(const std::string& source,
                         bool covers_all,
                         const std::string& incarnation,
                         const RolloutReports& reports,
                         TimePoint now) {
  if (!enabled()) {
    return;
  }
  for (const auto& [service, report] : reports) {
    // Such a report names no rollout.
    if (service.empty() || report.order.to.empty()) {
      continue;
    }
    Adopt(report.order, uptime_ > report.age + kStartSlack, now)
        .OnPeer({.source = source,
                 .covers_all = covers_all,
                 .incarnation = incarnation,
                 .report = report},
                now);
  }
}

void RolloutBook::OnServer(const ServerRecord& server,
                           bool listed,
                           TimePoint now) {
  if (!enabled()) {
    return;
  }
  Versions& versions = versions_[server.service];
  if (!listed || versions.in_use.empty()) {
    versions.in_use.insert(server.version);
  }
  if (!versions.in_use.contains(server.version)) {
    versions.appeared.try_emplace(server.version, now);
  }
}

std::vector<const ServerRecord*> RolloutBook::NewServers(
    const RolloutOrder& order) const {
  std::vector<const ServerRecord*> servers = directory_.Usable(order.service);
  std::erase_if(servers, [&](const ServerRecord* server) {
    return server->version != order.to;
  });
  return servers;
}

ServerFilter RolloutBook::OldServers(const RolloutOrder& order) const {
  const auto abandoned = abandoned_.find(order.service);
  std::set<std::string> excluded;
  if (abandoned != abandoned_.end()) {
    excluded = abandoned->second;
  }
  excluded.insert(order.to);
  return [excluded = std::move(excluded)](const ServerRecord& server) {
    return !excluded.contains(server.version);
  };
}

void RolloutBook::UpdateOpen(const std::string& service) {
  const auto known = rollouts_.find(service);
  if (known == rollouts_.end()) {
    return;
  }
  uint64_t open = 0;
  for (const auto& [version, attempts] : open_[service]) {
    open += version == known->second.order().to ? 0 : attempts;
  }
  known->second.SetOpenAtOld(open);
}

void RolloutBook::OnTick(size_t known_nodes,
                         bool may_decide,
                         Duration uptime,
                         TimePoint now) {
  uptime_ = uptime;
  for (auto& [service, rollout] : rollouts_) {
    UpdateServers(rollout);
    UpdateOpen(service);
    rollout.OnTick(known_nodes, may_decide, now);
  }
}

void RolloutBook::UpdateServers(ServiceRollout& rollout) {
  const ServerFilter is_old = OldServers(rollout.order());
  const auto usable = directory_.Usable(rollout.order().service);
  const auto old_servers =
      std::count_if(usable.begin(), usable.end(),
                    [&](const auto* server) { return is_old(*server); });
  rollout.SetServers(static_cast<size_t>(old_servers),
                     NewServers(rollout.order()).size());
}

std::optional<RolloutWrite> RolloutBook::NextWrite(TimePoint now) const {
  for (const auto& [name, object] : objects_) {
    if (!object.mistake.empty()) {
      if (!object.status) {
        return RolloutWrite{
            .name = name,
            .revision = object.revision,
            .status = {.state = StoredRolloutState::kRolledBack,
                       .to = object.order.to,
                       .order_revision = object.order.version.revision,
                       .reason = object.mistake}};
      }
      continue;
    }
    const auto known = rollouts_.find(object.order.service);
    if (known == rollouts_.end() ||
        !known->second.order().IsSameAs(object.order)) {
      continue;
    }
    if (auto status = known->second.WantedStatus(now)) {
      return RolloutWrite{.name = name,
                          .revision = object.revision,
                          .status = std::move(*status)};
    }
  }
  return std::nullopt;
}

RolloutReports RolloutBook::Report(TimePoint now) const {
  RolloutReports reports;
  for (const auto& [service, rollout] : rollouts_) {
    reports[service] = rollout.Report(now);
  }
  return reports;
}

bool RolloutBook::IsUnderWay(const std::string& service) const {
  const auto known = rollouts_.find(service);
  return known != rollouts_.end() && qh::IsUnderWay(known->second.phase());
}

std::vector<RolloutStep> RolloutBook::TakeSteps() {
  std::vector<RolloutStep> steps = std::exchange(steps_, {});
  for (auto& [service, rollout] : rollouts_) {
    for (RolloutStep& step : rollout.TakeSteps()) {
      steps.push_back(std::move(step));
    }
  }
  return steps;
}

void RolloutBook::OnRequest(const std::string& service,
                            const std::string& route,
                            TimePoint now) {
  const auto known = rollouts_.find(service);
  if (known != rollouts_.end()) {
    known->second.OnRequest(route, now);
  }
}

std::optional<RolloutAttempt> RolloutBook::TakeSend(const std::string& service,
                                                    const std::string& version,
                                                    const std::string& route,
                                                    bool first,
                                                    TimePoint now) {
  RolloutAttempt attempt;
  attempt.service = service;
  attempt.route = route;
  attempt.version = version;
  if (!enabled()) {
    return attempt;
  }
  const auto known = rollouts_.find(service);
  if (known != rollouts_.end()) {
    const bool to_new = version == known->second.order().to;
    if (!known->second.TakeSend(route, to_new, first, now)) {
      return std::nullopt;
    }
    attempt.order = known->second.order();
    attempt.cold = to_new && !known->second.IsWarm(now);
  }
  ++open_[service][version];
  UpdateOpen(service);
  return attempt;
}

ServiceRollout* RolloutBook::Find(const RolloutAttempt& attempt) {
  const auto known = rollouts_.find(attempt.service);
  const bool same = attempt.order && known != rollouts_.end() &&
                    known->second.order().IsSameAs(*attempt.order);
  return same ? &known->second : nullptr;
}

bool RolloutBook::IsSlow(const RolloutAttempt& attempt,
                         const ServiceRollout& rollout,
                         const ResponseTime& time) const {
  return !attempt.cold &&
         response_times_.IsSlow(attempt.service, attempt.route, time,
                                rollout.OldTotals(attempt.route));
}

void RolloutBook::OnStarted(RolloutAttempt& attempt, const ResponseTime& time) {
  ServiceRollout* rollout = Find(attempt);
  if (rollout == nullptr || attempt.counted) {
    return;
  }
  attempt.counted = true;
  attempt.slow = IsSlow(attempt, *rollout, time);
  ResponseCounts counts;
  counts.requests = 1;
  counts.slow = attempt.slow ? 1 : 0;
  const bool of_new = attempt.version == attempt.order->to;
  counts.timed = of_new && !attempt.cold ? 1 : 0;
  rollout->OnResponse(attempt.route, of_new, counts);
}

void RolloutBook::OnEnded(RolloutAttempt& attempt,
                          AttemptOutcome outcome,
                          const ResponseTime& time) {
  if (!enabled()) {
    return;
  }
  uint64_t& open = open_[attempt.service][attempt.version];
  open -= std::min<uint64_t>(open, 1);
  UpdateOpen(attempt.service);
  ServiceRollout* rollout = Find(attempt);
  const bool of_new =
      rollout != nullptr && attempt.version == rollout->order().to;
  const bool learn = outcome == AttemptOutcome::kAnswered && !of_new;
  if (rollout != nullptr) {
    const bool slow = IsSlow(attempt, *rollout, time);
    const bool failed = IsFailure(outcome);
    ResponseCounts counts =
        learn ? ResponseTimes::Sample(time) : ResponseCounts();
    // A caller that leaves early says nothing of the server.
    const bool known_end =
        failed || slow || outcome == AttemptOutcome::kAnswered;
    counts.requests = known_end && !attempt.counted ? 1 : 0;
    if (of_new && !attempt.cold) {
      counts.timed = counts.requests;
    }
    counts.failures = failed ? 1 : 0;
    counts.slow = slow && !attempt.slow ? 1 : 0;
    attempt.counted = attempt.counted || known_end;
    attempt.slow = attempt.slow || slow;
    rollout->OnResponse(attempt.route, of_new, counts);
  }
  if (learn) {
    response_times_.Learn(attempt.service, attempt.route, time);
  }
}

}  // namespace qh
