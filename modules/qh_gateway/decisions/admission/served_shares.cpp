#include "qh_gateway/decisions/admission/served_shares.h"

#include <algorithm>
#include <cmath>

namespace qh {
namespace {

// Step of the estimate of a route's 90th percentile of work, as a logarithm.
constexpr double kQuantileStep = 0.05;
constexpr double kQuantile = 0.9;
// Requests after which the estimate is used.
constexpr uint32_t kMinSamples = 20;
// A less urgent route may be ahead by this much before the more urgent one is
// promoted; less is noise.
constexpr double kRouteMargin = 0.02;
// Teams without requests for this long are forgotten.
constexpr Duration kForgetAfter = 6 * ServedShares::kMemory;

}  // namespace

void ServedShares::Share::Decay(TimePoint now) {
  if (now > updated) {
    const double kept =
        std::exp(-ToSeconds(now - updated) / ToSeconds(kMemory));
    offered *= kept;
    served *= kept;
    updated = now;
  }
}

double ServedShares::Share::ratio(TimePoint now) {
  Decay(now);
  return std::min(1.0,
                  (served + promoted_waiting + 1) / std::max(1.0, offered));
}

template <typename Change>
void ServedShares::ForEachShare(const AdmissionRequest& request,
                                bool large,
                                const Change& change) {
  Route& route = routes_[request.route];
  change(all_);
  change(route.all);
  if (large) {
    change(route.largest);
  }
  if (!request.team.empty()) {
    change(teams_[request.team]);
  }
}

bool ServedShares::OnOffered(const AdmissionRequest& request, TimePoint now) {
  if (now - cleaned_at_ > kForgetAfter) {
    cleaned_at_ = now;
    std::erase_if(teams_, [&](const auto& team) {
      return team.second.promoted_waiting == 0 &&
             now - team.second.updated > kForgetAfter;
    });
  }
  Route& route = routes_[request.route];
  route.priority = request.route_priority;
  const double log_work = std::log(std::max(request.work_ms, 1e-3));
  if (route.samples == 0) {
    route.log_large_ms = log_work;
  }
  const bool above = log_work > route.log_large_ms;
  const bool large = above && route.samples >= kMinSamples;
  route.log_large_ms += kQuantileStep * (above ? kQuantile : kQuantile - 1);
  ++route.samples;
  ForEachShare(request, large, [&](Share& share) {
    share.Decay(now);
    share.offered += request.returned ? 0 : 1;
  });
  return large;
}

bool ServedShares::MustPromote(const AdmissionRequest& request,
                               bool large,
                               TimePoint now) {
  Route& route = routes_[request.route];
  const double floor = kGroupFloor * all_.ratio(now);
  const double of_route = route.all.ratio(now);
  if (of_route < floor) {
    return true;
  }
  if (!request.team.empty() && teams_[request.team].ratio(now) < floor) {
    return true;
  }
  if (large &&
      route.largest.ratio(now) < std::max(floor, kLargeFloor * of_route)) {
    return true;
  }
  return std::any_of(routes_.begin(), routes_.end(), [&](auto& other) {
    return other.second.priority > route.priority &&
           other.second.all.ratio(now) > of_route + kRouteMargin;
  });
}

double ServedShares::Crowding(const std::string& team, TimePoint now) {
  const auto found = teams_.find(team);
  if (found == teams_.end() || teams_.size() < 2) {
    return 1;
  }
  found->second.Decay(now);
  all_.Decay(now);
  const double average = all_.offered / static_cast<double>(teams_.size());
  return std::clamp(found->second.offered / std::max(2 * average, 1.0), 1.0,
                    kMaxCrowding);
}

void ServedShares::OnPromotedWaits(const AdmissionRequest& request,
                                   bool large,
                                   bool waits) {
  ForEachShare(request, large, [&](Share& share) {
    if (waits) {
      ++share.promoted_waiting;
    } else if (share.promoted_waiting > 0) {
      --share.promoted_waiting;
    }
  });
}

void ServedShares::OnServed(const AdmissionRequest& request,
                            bool large,
                            TimePoint now) {
  ForEachShare(request, large, [&](Share& share) {
    share.Decay(now);
    share.served += 1;
  });
}

}  // namespace qh
