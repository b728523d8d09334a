#include "qh_gateway/decisions/rollout/service_rollout.h"

#include <algorithm>

#include "qh_core/statechart/state_chart.h"

namespace qh {
namespace {

using Chart = BoundChart<RolloutPhase, RolloutEvent>;

constexpr std::string_view kChartText =
#include "rollout.chart"
    ;

const Chart& RolloutChart() {
  static const Chart chart = Chart::Bind(kChartText).value();
  return chart;
}

// Canary requests that may be due at once on one route.
constexpr double kMaxCredit = 2;
// Multiple of the requests expected until the deadline that a node's budget has
// to cover before the node moves its traffic (switch), and before it stops
// using old servers (close). Closing can't be undone, so it needs more.
constexpr double kSwitchReserve = 1.1;
constexpr double kCloseReserve = 1.4;
constexpr double kCloseReserveRequests = 2;
// Time over which a node's rate of requests is measured.
constexpr Duration kRateTime = std::chrono::seconds(2);
constexpr Duration kRateInterval = std::chrono::milliseconds(250);
// Canary responses per second of all nodes that the analysis needs, and the
// largest share of the requests for them at a service with few requests.
constexpr double kSamplesPerSecond = 5;
constexpr double kMaxCanaryShare = 0.06;
// Reasons of steps that another node decided; that node's log has the cause.
constexpr const char* kByPeer = "reported by a peer";
constexpr const char* kByStore = "status in the store";

}  // namespace

ServiceRollout::ServiceRollout(RolloutOrder order,
                               const RolloutBounds& bounds,
                               bool from_start,
                               uint64_t seed,
                               TimePoint now)
    : order_(std::move(order)),
      bounds_(bounds),
      from_start_(from_start),
      rng_(seed),
      since_(now),
      phase_(RolloutChart().initial()),
      learned_at_(now),
      budget_(bounds),
      analysis_(bounds.rollback_time) {
  steps_.push_back({.order = order_,
                    .phase = phase_,
                    .reason = "ordered",
                    .new_counts = {}});
}

void ServiceRollout::Apply(RolloutEvent event,
                           const std::string& reason,
                           TimePoint now) {
  const auto next = RolloutChart().Next(phase_, event);
  if (!next) {
    return;
  }
  phase_ = *next;
  reason_ = reason;
  if (phase_ == RolloutPhase::kSwitching) {
    analysis_.OnSwitch(now);
  }
  if (!IsUnderWay(phase_)) {
    closed_to_old_ = false;
  }
  steps_.push_back({.order = order_,
                    .phase = phase_,
                    .reason = reason,
                    .age = now - since_,
                    .new_counts = analysis_.total(),
                    .nodes_heard = NodesHeard(now)});
}

std::vector<RolloutStep> ServiceRollout::TakeSteps() {
  return std::exchange(steps_, {});
}

void ServiceRollout::OnStored(const std::optional<RolloutStatus>& status,
                              TimePoint now) {
  stored_ = status && status->to == order_.to ? status : std::nullopt;
  if (!stored_) {
    // Nothing is sent to the new version before the order is stored as active.
    complete_ = complete_ || phase_ == RolloutPhase::kPending;
    return;
  }
  switch (stored_->state) {
    case StoredRolloutState::kActive:
      break;
    case StoredRolloutState::kCompleted:
      Apply(RolloutEvent::kStoredDone, kByStore, now);
      break;
    case StoredRolloutState::kRolledBack:
      Apply(RolloutEvent::kBad, kByStore, now);
      break;
  }
}

void ServiceRollout::OnWithdrawn(TimePoint now) {
  stored_.reset();
  Apply(RolloutEvent::kWithdrawn, "the order was removed", now);
}

void ServiceRollout::OnPeer(const PeerReport& peer, TimePoint now) {
  const RolloutReport& report = peer.report;
  if (!report.order.IsSameAs(order_)) {
    return;
  }
  since_ = std::min(since_, now - report.age);
  complete_ = complete_ || report.complete;
  switch (report.phase) {
    case RolloutPhase::kPending:
      break;
    case RolloutPhase::kCanary:
      Apply(RolloutEvent::kStarted, kByPeer, now);
      break;
    case RolloutPhase::kSwitching:
      Apply(RolloutEvent::kSwitched, kByPeer, now);
      break;
    case RolloutPhase::kRolledBack:
      Apply(RolloutEvent::kBad, kByPeer, now);
      break;
    case RolloutPhase::kWithdrawn:
      Apply(RolloutEvent::kWithdrawn, kByPeer, now);
      break;
    case RolloutPhase::kCompleted:
      Apply(RolloutEvent::kStoredDone, kByPeer, now);
      break;
  }
  if (peer.source.empty()) {
    return;
  }
  // A report on all peers and those that it is made of exclude each other.
  std::erase_if(sources_, [&](const auto& item) {
    return item.second.last.covers_all != peer.covers_all;
  });
  Source& source = sources_[peer.source];
  if (source.last.incarnation != peer.incarnation) {
    source.before += source.last.report.counts;
  }
  source.last = peer;
  source.heard_at = now;
}

VersionCounts ServiceRollout::Totals() const {
  VersionCounts totals = counts_;
  for (const auto& [name, source] : sources_) {
    totals += source.before;
    totals += source.last.report.counts;
  }
  return totals;
}

ResponseCounts ServiceRollout::OldTotals(const std::string& route) const {
  const auto found = totals_.old_version.find(route);
  return found == totals_.old_version.end() ? ResponseCounts() : found->second;
}

size_t ServiceRollout::NodesHeard(TimePoint now) const {
  size_t nodes = 0;
  for (const auto& [name, source] : sources_) {
    if (now - source.heard_at < kFreshTime) {
      nodes += source.last.report.nodes;
    }
  }
  return nodes;
}

bool ServiceRollout::IsFresh(TimePoint now) const {
  return 2 * NodesHeard(now) >= known_nodes_ - 1 &&
         now - ticked_at_ < kFreshTime;
}

bool ServiceRollout::AllDrained(TimePoint now) const {
  size_t drained = IsDrained() ? 1 : 0;
  for (const auto& [name, source] : sources_) {
    if (now - source.heard_at < kFreshTime) {
      drained += source.last.report.drained_nodes;
    }
  }
  return IsDrained() && drained >= known_nodes_;
}

void ServiceRollout::SetServers(size_t old_servers, size_t new_servers) {
  old_servers_ = old_servers;
  new_servers_ = new_servers;
  had_old_servers_ = had_old_servers_ || old_servers > 0;
}

void ServiceRollout::OnTick(size_t known_nodes,
                            bool may_decide,
                            TimePoint now) {
  known_nodes_ = std::max<size_t>(1, known_nodes);
  ticked_at_ = now;
  if (from_start_) {
    budget_.SetNodes(known_nodes_);
  }
  if (history_.empty() || now - history_.back().at >= kRateInterval) {
    history_.push_back({now, budget_.requests()});
  }
  while (history_.size() > 1 && now - history_[1].at >= kRateTime) {
    history_.pop_front();
  }
  totals_ = Totals();
  analysis_.Update(totals_, now);
  const bool is_open =
      phase_ == RolloutPhase::kCanary || phase_ == RolloutPhase::kSwitching;
  if (is_open) {
    if (const auto fault = analysis_.FindFault()) {
      Apply(RolloutEvent::kBad, *fault, now);
    }
  }
  if (may_decide) {
    const bool active =
        stored_ && stored_->state == StoredRolloutState::kActive;
    if (!complete_ && now - learned_at_ >= kPeerReportLifetime) {
      Apply(RolloutEvent::kBad, "responses since the order are not known", now);
    }
    if (active && complete_ && new_servers_ > 0 && had_old_servers_) {
      Apply(RolloutEvent::kStarted, "active, servers of the version found",
            now);
    }
    if (active && phase_ == RolloutPhase::kCanary && IsTimeToSwitch(now) &&
        IsFresh(now) && analysis_.HasPassed(now)) {
      Apply(RolloutEvent::kPassed, "canary analysis passed", now);
    }
    if (now >= deadline() + kDecisionGrace &&
        (had_old_servers_ || new_servers_ == 0)) {
      Apply(RolloutEvent::kExpired,
            new_servers_ == 0 ? "no servers of the version"
                              : "not found good by the deadline",
            now);
    }
  }
  UpdateSwitch(now);
}

double ServiceRollout::ExpectedRequests(TimePoint now) const {
  const Duration left = std::max(Duration::zero(), deadline() - now);
  const Duration measured =
      history_.empty() ? Duration::zero() : now - history_.front().at;
  if (measured < kRateInterval) {
    return left > Duration::zero() ? 1e9 : 0;
  }
  const double rate =
      static_cast<double>(budget_.requests() - history_.front().requests) /
      ToSeconds(measured);
  return rate * ToSeconds(left);
}

bool ServiceRollout::IsTimeToSwitch(TimePoint now) const {
  const double used = budget_.requests() == 0
                          ? 0
                          : static_cast<double>(budget_.exposed()) /
                                static_cast<double>(budget_.requests());
  const double unused = bounds_.exposure_share - std::max(used, kCanaryShare);
  const double lead =
      std::max(0.0, unused) / (kSwitchReserve + std::max(0.0, unused));
  return now >= deadline() - FromSeconds(ToSeconds(order_.duration) * lead);
}

void ServiceRollout::UpdateSwitch(TimePoint now) {
  if (phase_ != RolloutPhase::kSwitching) {
    return;
  }
  const double expected = ExpectedRequests(now);
  const bool window_over = now >= deadline();
  if (window_over || budget_.Remaining() >= kSwitchReserve * expected + 1) {
    switched_ = true;
  }
  const bool lasts =
      budget_.Remaining() >= kCloseReserve * expected + kCloseReserveRequests;
  if (switched_ && (window_over || lasts) && IsFresh(now) && new_servers_ > 0) {
    closed_to_old_ = true;
  }
}

std::optional<RolloutStatus> ServiceRollout::WantedStatus(TimePoint now) const {
  const auto wanted = [&](StoredRolloutState state) {
    const bool is_stored = stored_ && stored_->state == state;
    return is_stored ? std::nullopt
                     : std::optional(RolloutStatus{
                           .state = state,
                           .to = order_.to,
                           .order_revision = order_.version.revision,
                           .reason = reason_});
  };
  switch (phase_) {
    case RolloutPhase::kRolledBack:
      return wanted(StoredRolloutState::kRolledBack);
    case RolloutPhase::kCompleted:
      return wanted(StoredRolloutState::kCompleted);
    case RolloutPhase::kSwitching:
      if (AllDrained(now) && IsFresh(now) && analysis_.HasPassed(now)) {
        return wanted(StoredRolloutState::kCompleted);
      }
      break;
    case RolloutPhase::kPending:
      // The service runs nothing else, so there is nothing to move.
      if (now >= deadline() && !had_old_servers_ && new_servers_ > 0) {
        return wanted(StoredRolloutState::kCompleted);
      }
      break;
    case RolloutPhase::kCanary:
      break;
    case RolloutPhase::kWithdrawn:
      return std::nullopt;
  }
  return wanted(StoredRolloutState::kActive);
}

size_t ServiceRollout::canary_servers() const {
  return std::max<size_t>(
      1, static_cast<size_t>(kCanaryShare * static_cast<double>(old_servers_)));
}

double ServiceRollout::PulseShare() const {
  return std::clamp(kCanaryShare * static_cast<double>(old_servers_) /
                        static_cast<double>(canary_servers()),
                    kMinPulseShare, 1.0);
}

bool ServiceRollout::InPulse(TimePoint now) const {
  const Duration within = (now - since_) % kPulseInterval;
  return ToSeconds(within) < PulseShare() * ToSeconds(kPulseInterval);
}

double ServiceRollout::ShareOf(const std::string& route) const {
  const double measured_s =
      history_.empty() ? 0
                       : ToSeconds(history_.back().at - history_.front().at);
  const double rate = measured_s <= 0
                          ? 0
                          : static_cast<double>(history_.back().requests -
                                                history_.front().requests) /
                                measured_s * static_cast<double>(known_nodes_);
  const double share = rate <= 0 ? kCanaryShare
                                 : std::clamp(kSamplesPerSecond / rate,
                                              kCanaryShare, kMaxCanaryShare);
  const auto found = route_requests_.find(route);
  if (found == route_requests_.end()) {
    return share;
  }
  const double mean = static_cast<double>(canary_requests_) /
                      static_cast<double>(route_requests_.size());
  return share * std::clamp(mean / static_cast<double>(found->second), 1.0,
                            kMaxRouteBoost);
}

void ServiceRollout::OnRequest(const std::string& route, TimePoint now) {
  if (phase_ != RolloutPhase::kCanary) {
    return;
  }
  ++route_requests_[route];
  ++canary_requests_;
  if (!InPulse(now)) {
    return;
  }
  const auto [credit, added] = canary_credit_.try_emplace(route, 0);
  if (added) {
    credit->second = rng_.Uniform();
  }
  credit->second =
      std::min(kMaxCredit, credit->second + ShareOf(route) / PulseShare());
}

RolloutTarget ServiceRollout::Target(const std::string& route,
                                     TimePoint now) const {
  switch (phase_) {
    case RolloutPhase::kPending:
      return had_old_servers_ ? RolloutTarget::kOld : RolloutTarget::kAny;
    case RolloutPhase::kCanary: {
      const auto credit = canary_credit_.find(route);
      const bool due = credit != canary_credit_.end() && credit->second >= 1;
      return due && InPulse(now) && budget_.Allows() && IsFresh(now)
                 ? RolloutTarget::kCanary
                 : RolloutTarget::kOld;
    }
    case RolloutPhase::kSwitching: {
      const bool may_use_new = switched_ && IsFresh(now) &&
                               (now >= deadline() || budget_.Allows() ||
                                (closed_to_old_ && budget_.AllowsLast()));
      if (closed_to_old_) {
        return may_use_new ? RolloutTarget::kNew : RolloutTarget::kNone;
      }
      return may_use_new ? RolloutTarget::kNewOrOld : RolloutTarget::kOld;
    }
    case RolloutPhase::kRolledBack:
      return RolloutTarget::kOld;
    case RolloutPhase::kWithdrawn:
      return old_servers_ > 0 ? RolloutTarget::kOld : RolloutTarget::kAny;
    case RolloutPhase::kCompleted:
      return new_servers_ > 0 ? RolloutTarget::kNew : RolloutTarget::kAny;
  }
  return RolloutTarget::kOld;
}

bool ServiceRollout::TakeSend(const std::string& route,
                              bool to_new,
                              bool first,
                              TimePoint now) {
  const RolloutTarget target = Target(route, now);
  const bool allowed = target == RolloutTarget::kAny ||
                       (to_new ? target == RolloutTarget::kCanary ||
                                     target == RolloutTarget::kNewOrOld ||
                                     target == RolloutTarget::kNew
                               : target != RolloutTarget::kNew &&
                                     target != RolloutTarget::kNone);
  if (!allowed) {
    return false;
  }
  if (first) {
    budget_.OnRequest();
  }
  if (to_new) {
    budget_.OnExposed();
    canary_credit_[route] -= target == RolloutTarget::kCanary ? 1 : 0;
  }
  return true;
}

void ServiceRollout::OnResponse(const std::string& route,
                                bool of_new,
                                const ResponseCounts& counts) {
  (of_new ? counts_.new_version : counts_.old_version)[route] += counts;
}

RolloutReport ServiceRollout::Report(TimePoint now) const {
  return {.order = order_,
          .phase = phase_,
          .age = now - since_,
          .counts = counts_,
          .complete = complete_,
          .nodes = 1,
          .drained_nodes = IsDrained() ? 1U : 0U,
          .open_at_old = open_at_old_};
}

}  // namespace qh
