#include "qh_gateway/decisions/limits/team_limit_order.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace qh {
namespace {

// Weight of a new request in the mean of the units.
constexpr double kMeanWeight = 0.02;
// A class gets up to this multiple of its demand, so that it can catch up.
constexpr double kDemandHeadroom = 1.5;
// Longest time that a caller is told to wait.
constexpr double kMaxWaitS = 60;

}  // namespace

TeamLimitOrder::Key TeamLimitOrder::KeyOf(int priority, double units) const {
  return {std::clamp(priority, 0, kLeastPriority),
          units > kLargeFactor * mean_units_};
}

double TeamLimitOrder::Capacity(const Class& requests) {
  return std::max(kSavedRequests * requests.largest,
                  requests.rate * ToSeconds(kSavingTime));
}

void TeamLimitOrder::Divide(double rate) {
  double demand = 0;
  for (const auto& [key, requests] : classes_) {
    demand += requests.demand;
  }
  if (demand <= 0) {
    return;
  }
  double rest = rate;
  // Demand by priority.
  std::map<int, double> by_priority;
  for (auto& [key, requests] : classes_) {
    requests.rate = std::min(
        requests.demand, kGuaranteedShare * rate * requests.demand / demand);
    rest -= requests.rate;
    by_priority[key.first] += requests.demand;
  }
  double left_to_tier = rest;
  int tier = -1;
  for (auto& [key, requests] : classes_) {
    if (key.first != std::exchange(tier, key.first)) {
      left_to_tier = rest;
    }
    const double tier_demand = by_priority.at(key.first);
    const double part =
        tier_demand <= 0 ? 0 : left_to_tier * requests.demand / tier_demand;
    const double more = std::clamp(
        part, 0.0,
        std::max(0.0, kDemandHeadroom * requests.demand - requests.rate));
    requests.rate += more;
    rest -= more;
  }
  // The rest is divided in proportion to demand, so that a class whose demand
  // rises has units saved.
  for (auto& [key, requests] : classes_) {
    requests.rate += std::max(rest, 0.0) * requests.demand / demand;
  }
}

void TeamLimitOrder::Fill(double rate, double usual_rate, TimePoint now) {
  rate_ = rate;
  usual_rate_ = usual_rate;
  const double seconds = std::max(0.0, ToSeconds(now - filled_));
  filled_ = now;
  const double kept = std::exp(-seconds / ToSeconds(kDemandTime));
  Divide(rate);
  for (auto& [key, requests] : classes_) {
    requests.saved = std::min(std::max(Capacity(requests), requests.saved),
                              requests.saved + requests.rate * seconds);
    requests.demand *= kept;
    const auto end = requests.returns.upper_bound(now);
    for (auto it = requests.returns.begin(); it != end; ++it) {
      requests.owed -= it->second;
    }
    requests.returns.erase(requests.returns.begin(), end);
    requests.owed = requests.returns.empty() ? 0 : requests.owed;
  }
}

void TeamLimitOrder::OnRequest(int priority, double units, TimePoint now) {
  mean_units_ = mean_units_ == 0
                    ? units
                    : mean_units_ + kMeanWeight * (units - mean_units_);
  const auto [entry, added] = classes_.try_emplace(KeyOf(priority, units));
  Class& requests = entry->second;
  requests.demand += units / ToSeconds(kDemandTime);
  requests.largest = std::max(requests.largest, units);
  if (classes_.size() == 1 && added) {
    filled_ = now;
  }
  Divide(rate_);
}

std::optional<Duration> TeamLimitOrder::WaitFor(int priority,
                                                double units) const {
  const auto found = classes_.find(KeyOf(priority, units));
  if (found == classes_.end() || found->second.saved >= units) {
    return std::nullopt;
  }
  const Class& requests = found->second;
  return TimeFor(requests, units - requests.saved + requests.owed);
}

Duration TeamLimitOrder::TimeFor(const Class& requests, double units) const {
  const double class_rate =
      rate_ <= 0 ? 0 : usual_rate_ * requests.rate / rate_;
  return FromSeconds(class_rate <= 0
                         ? kMaxWaitS
                         : std::clamp(units / class_rate, 0.0, kMaxWaitS));
}

Duration TeamLimitOrder::TimeForReturning(int priority, double units) const {
  const auto found = classes_.find(KeyOf(priority, units));
  return found == classes_.end() || found->second.owed <= 0
             ? Duration::zero()
             : TimeFor(found->second, found->second.owed);
}

void TeamLimitOrder::Take(int priority, double units) {
  Class& requests = classes_[KeyOf(priority, units)];
  requests.saved = std::max(0.0, requests.saved - units);
}

void TeamLimitOrder::GiveBack(int priority, double units) {
  const auto found = classes_.find(KeyOf(priority, units));
  if (found != classes_.end()) {
    Class& requests = found->second;
    requests.saved =
        std::min(Capacity(requests), requests.saved + std::max(units, 0.0));
  }
}

void TeamLimitOrder::OnToldToReturn(int priority,
                                    double units,
                                    Duration wait,
                                    TimePoint now) {
  Class& requests = classes_[KeyOf(priority, units)];
  requests.owed += units;
  requests.returns.emplace(now + wait, units);
}

void TeamLimitOrder::Reset(TimePoint now) {
  filled_ = now;
  for (auto& [key, requests] : classes_) {
    requests.saved = 0;
    requests.owed = 0;
    requests.returns.clear();
  }
}

}  // namespace qh
