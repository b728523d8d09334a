#include "qh_gateway/decisions/rollout/canary_analysis.h"

#include <algorithm>
#include <cmath>

namespace qh {
namespace {

// Shares of bad responses that are always accepted: an old version with few
// samples may hide as much.
constexpr double kAcceptedFailures = 0.01;
constexpr double kAcceptedSlow = 0.04;
// The new version may have this multiple of the old one's share of bad
// responses, as both shares are estimates.
constexpr double kAcceptedRatio = 1.25;
// Standard deviations beyond chance, and number of bad responses, from which
// they are a fault, which rolls the version back, or a doubt, which only keeps
// it from passing.
constexpr double kFaultSigmas = 3;
constexpr uint64_t kFaultCount = 4;
constexpr double kDoubtSigmas = 1.5;
constexpr uint64_t kDoubtCount = 2;
// Responses on a route that the new version needs to pass: this part of the
// requests there since the warm-up, up to the largest number.
constexpr double kRouteSampleShare = 0.1;
constexpr uint64_t kMaxRouteSamples = 4;

ResponseCounts Sum(const RouteCounts& routes) {
  ResponseCounts sum;
  for (const auto& [route, counts] : routes) {
    sum += counts;
  }
  return sum;
}

// Returns a - b, or zero if that is negative: a sum decreases when a node
// restarts and loses its counts.
uint64_t DifferenceOrZero(uint64_t a, uint64_t b) {
  return a > b ? a - b : 0;
}

RouteCounts Difference(const RouteCounts& now, const RouteCounts& before) {
  RouteCounts difference;
  for (const auto& [route, counts] : now) {
    const auto found = before.find(route);
    const ResponseCounts base =
        found == before.end() ? ResponseCounts() : found->second;
    ResponseCounts& rest = difference[route];
    rest.requests = DifferenceOrZero(counts.requests, base.requests);
    rest.failures = DifferenceOrZero(counts.failures, base.failures);
    rest.slow = DifferenceOrZero(counts.slow, base.slow);
    rest.timed = DifferenceOrZero(counts.timed, base.timed);
  }
  return difference;
}

VersionCounts Difference(const VersionCounts& now,
                         const VersionCounts& before) {
  return {.old_version = Difference(now.old_version, before.old_version),
          .new_version = Difference(now.new_version, before.new_version)};
}

// Returns the part that `bad` is of `requests`.
double ShareOf(uint64_t bad, uint64_t requests) {
  return requests == 0
             ? 0
             : static_cast<double>(bad) / static_cast<double>(requests);
}

// Whether `bad` of `requests` is more than chance explains, if the old version
// has `old_share`.
bool IsExcess(uint64_t bad,
              uint64_t requests,
              double old_share,
              double accepted,
              double sigmas,
              uint64_t min_bad) {
  if (bad < min_bad || requests == 0) {
    return false;
  }
  const double share = std::min(0.95, kAcceptedRatio * old_share + accepted);
  const auto n = static_cast<double>(requests);
  return static_cast<double>(bad) >
         n * share + sigmas * std::sqrt(n * share * (1 - share));
}

}  // namespace

void CanaryAnalysis::Update(const VersionCounts& counts, TimePoint now) {
  counts_ = counts;
  if (!first_at_ && total().requests > 0) {
    first_at_ = now;
    warm_at_ = now + warm_up_;
  }
  if (warm_at_ && now >= *warm_at_ && !warm_counts_) {
    warm_counts_ = counts;
  }
  if (history_.empty() || now - history_.back().at >= kSnapshotInterval) {
    history_.push_back({now, counts});
  }
  while (history_.size() > 1 && now - history_[1].at >= kRecent) {
    history_.pop_front();
  }
}

void CanaryAnalysis::OnSwitch(TimePoint now) {
  warm_at_ = std::max(warm_at_.value_or(now), now + kSwitchWarmUp);
  warm_counts_.reset();
}

ResponseCounts CanaryAnalysis::total() const {
  return Sum(counts_.new_version);
}

std::optional<std::string> CanaryAnalysis::Compare(const VersionCounts& since,
                                                   bool with_slow,
                                                   double sigmas,
                                                   uint64_t min_bad) const {
  const auto describe = [](const std::string& scope, const char* what,
                           uint64_t bad, uint64_t requests, uint64_t old_bad,
                           uint64_t old_requests) {
    return scope + ": " + std::to_string(bad) + " of " +
           std::to_string(requests) + " " + what + ", old version " +
           std::to_string(old_bad) + " of " + std::to_string(old_requests);
  };
  // After the switch the old version has no recent responses, so that those
  // since the order count as well.
  const auto check =
      [&](const std::string& scope, const ResponseCounts& fresh,
          const ResponseCounts& old,
          const ResponseCounts& all_old) -> std::optional<std::string> {
    if (IsExcess(fresh.failures, fresh.requests,
                 std::max(ShareOf(old.failures, old.requests),
                          ShareOf(all_old.failures, all_old.requests)),
                 kAcceptedFailures, sigmas, min_bad)) {
      return describe(scope, "failed", fresh.failures, fresh.requests,
                      old.failures, old.requests);
    }
    if (with_slow && IsExcess(fresh.slow, fresh.timed,
                              std::max(ShareOf(old.slow, old.requests),
                                       ShareOf(all_old.slow, all_old.requests)),
                              kAcceptedSlow, sigmas, min_bad)) {
      return describe(scope, "slow", fresh.slow, fresh.timed, old.slow,
                      old.requests);
    }
    return std::nullopt;
  };
  if (auto fault = check("all routes", Sum(since.new_version),
                         Sum(since.old_version), Sum(counts_.old_version))) {
    return fault;
  }
  const auto find = [](const RouteCounts& routes, const std::string& route) {
    const auto found = routes.find(route);
    return found == routes.end() ? ResponseCounts() : found->second;
  };
  for (const auto& [route, fresh] : since.new_version) {
    if (auto fault =
            check("route " + route, fresh, find(since.old_version, route),
                  find(counts_.old_version, route))) {
      return fault;
    }
  }
  return std::nullopt;
}

std::optional<std::string> CanaryAnalysis::Find(double sigmas,
                                                uint64_t min_bad) const {
  if (auto fault = Compare(counts_, false, sigmas, min_bad)) {
    return fault;
  }
  if (warm_counts_) {
    if (auto fault = Compare(Difference(counts_, *warm_counts_), true, sigmas,
                             min_bad)) {
      return fault;
    }
  }
  if (history_.empty()) {
    return std::nullopt;
  }
  const Snapshot& start = history_.front();
  const bool warm = warm_at_ && start.at >= *warm_at_;
  return Compare(Difference(counts_, start.counts), warm, sigmas, min_bad);
}

std::optional<std::string> CanaryAnalysis::FindFault() const {
  return Find(kFaultSigmas, kFaultCount);
}

bool CanaryAnalysis::HasPassed(TimePoint now) const {
  if (!warm_counts_ || now < *warm_at_ + kObservation) {
    return false;
  }
  const VersionCounts since = Difference(counts_, *warm_counts_);
  RouteCounts both = since.old_version;
  for (const auto& [route, counts] : since.new_version) {
    both[route] += counts;
  }
  const bool all_routes_tried =
      std::all_of(both.begin(), both.end(), [&](const auto& route) {
        const auto found = since.new_version.find(route.first);
        const uint64_t samples =
            found == since.new_version.end() ? 0 : found->second.timed;
        const double needed =
            kRouteSampleShare * static_cast<double>(route.second.requests);
        return samples >= kMaxRouteSamples ||
               static_cast<double>(samples) >= needed;
      });
  return Sum(since.new_version).timed >= kMinSamples && all_routes_tried &&
         !Find(kDoubtSigmas, kDoubtCount);
}

}  // namespace qh
