#include "qh_gateway/decisions/capacity/capacity_planner.h"

#include <algorithm>
#include <cmath>

namespace qh {
namespace {

uint32_t CeilOf(double value) {
  return static_cast<uint32_t>(std::ceil(std::max(0.0, value)));
}

}  // namespace

CapacityPlanner::CapacityPlanner(const Settings& settings)
    : settings_(settings) {}

CapacityPlanner::Key CapacityPlanner::OrderKey(const CapacityOrder& order) {
  return {order.service, {order.failure_domain, order.spot}};
}

double CapacityPlanner::UpdatePeaks(Peaks& peaks,
                                    double servers,
                                    Duration window,
                                    TimePoint now) {
  std::erase_if(peaks, [&](const Peak& peak) {
    return peak.at + window < now || peak.servers <= servers;
  });
  peaks.push_back({now, servers});
  return peaks.front().servers;
}

double CapacityPlanner::ExpectedRise(History& history,
                                     const ServiceRule& service,
                                     TimePoint now) const {
  std::vector<Peak>& averages = history.averages;
  std::erase_if(averages, [&](const Peak& average) {
    return average.at + settings_.trend_window < now;
  });
  averages.push_back({now, history.average});
  const double elapsed = ToSeconds(now - averages.front().at);
  if (elapsed < ToSeconds(settings_.trend_window) / 2) {
    return 0;
  }
  const double per_second =
      (history.average - averages.front().servers) / elapsed;
  // The average lags behind the demand by its time constant.
  const double lead =
      ToSeconds(service.scaling->boot_time + settings_.smoothing_time);
  return std::clamp(per_second * lead, 0.0,
                    settings_.max_rise * history.average);
}

// The highest need within a window counts, so that a short lull ends no server.
CapacityPlanner::Need CapacityPlanner::NeededServers(
    History& history,
    const ServiceRule& service,
    const ServiceDemand& demand,
    TimePoint now) const {
  const double slots = service.engine ? service.engine->slots : 1;
  const double current =
      std::max({1.0,
                demand.open_requests / (slots * settings_.slot_utilization),
                demand.prefill_servers / settings_.prefill_utilization}) +
      demand.withheld_servers;
  const Duration elapsed = now - history.averaged_at.value_or(now);
  const double weight =
      history.averaged_at
          ? std::min(1.0,
                     ToSeconds(elapsed) / ToSeconds(settings_.smoothing_time))
          : 1.0;
  history.averaged_at = now;
  history.average += weight * (current - history.average);
  const double needed = history.average + ExpectedRise(history, service, now);
  if (demand.open_requests > 0 && !history.first_demand_at) {
    history.first_demand_at = now;
  }
  // An expected rise isn't remembered: with few servers it is mostly noise.
  Need need{
      .on_demand = std::max(needed, UpdatePeaks(history.peaks, history.average,
                                                settings_.peak_window, now)),
      .spot = std::max(needed, UpdatePeaks(history.spot_peaks, history.average,
                                           settings_.spot_peak_window, now))};
  const Duration observed = now - history.first_demand_at.value_or(now);
  if (observed <= settings_.demand_warmup) {
    need.on_demand = std::max(need.on_demand, history.found);
  }
  if (observed <= settings_.spot_peak_window) {
    need.spot = std::max(need.spot, history.found);
  }
  return need;
}

double CapacityPlanner::SpotPerNeeded(size_t domains) const {
  const double count = static_cast<double>(domains);
  const double lost = count > settings_.lost_domains + 1
                          ? settings_.lost_domains
                          : std::min(1.0, count - 1);
  return (1 - settings_.on_demand_share) * count / (count - lost);
}

// On-demand servers replace reclaimable ones until those run. While reclaimable
// servers are unavailable, they also replace those of the failure domain with
// most of them: the next reclaim may take these, and no new ones could be had.
double CapacityPlanner::SpotShortfall(
    const History& history,
    double needed,
    const std::map<std::pair<FailureDomainId, bool>, uint32_t>& running,
    TimePoint now) const {
  double total = 0;
  double largest_domain = 0;
  for (const auto& [place, count] : running) {
    const double spot = place.second ? count : 0;
    total += spot;
    largest_domain = std::max(largest_domain, spot);
  }
  const double reliable =
      now < history.spot_short_until ? total - largest_domain : total;
  return std::max(0.0, settings_.on_demand_cover * needed - reliable);
}

std::vector<CapacityOrder> CapacityPlanner::Plan(
    const ServiceRule& service,
    const ServiceDemand& demand,
    const std::vector<const ServerRecord*>& servers,
    TimePoint now) {
  const ScalingTraits& scaling = *service.scaling;
  if (scaling.domain_prices.empty()) {
    return {};
  }
  History& history =
      histories_.try_emplace(service.name, History{.first_seen = now})
          .first->second;
  if (!history.first_demand_at && !history.planned) {
    double found = 0;
    for (const ServerRecord* server : servers) {
      if (server->service == service.name && !server->draining) {
        found += server->spot ? 1 / SpotPerNeeded(scaling.domain_prices.size())
                              : settings_.initial_need_per_server;
      }
    }
    history.found = std::max(history.found, found);
  }
  const Need needed = NeededServers(history, service, demand, now);
  if (now - history.first_seen < settings_.settling_time) {
    return {};
  }
  // Servers that register from now on may be ones that were ordered, so they
  // don't count as found.
  history.planned = true;
  std::vector<std::pair<double, FailureDomainId>> domains;
  for (const auto& [domain, price] : scaling.domain_prices) {
    domains.emplace_back(price, domain);
  }
  // The cheapest domains come first: they get one on-demand server more if
  // these can't be spread evenly.
  std::sort(domains.begin(), domains.end());
  const double domain_count = static_cast<double>(domains.size());

  std::map<std::pair<FailureDomainId, bool>, uint32_t> running;
  for (const ServerRecord* server : servers) {
    if (server->service == service.name && !server->draining) {
      ++running[{server->failure_domain, server->spot}];
    }
  }

  const uint32_t spot_per_domain =
      scaling.spot_price
          ? std::clamp(CeilOf(needed.spot * SpotPerNeeded(domains.size()) /
                              domain_count),
                       1U, scaling.max_servers)
          : 0;
  uint32_t on_demand_left =
      CeilOf(std::max(needed.on_demand * settings_.on_demand_share,
                      SpotShortfall(history, needed.on_demand, running, now)));

  std::vector<CapacityOrder> wanted;
  for (size_t i = 0; i < domains.size(); ++i) {
    const FailureDomainId& domain = domains[i].second;
    const uint32_t domains_left = static_cast<uint32_t>(domains.size() - i);
    uint32_t on_demand = (on_demand_left + domains_left - 1) / domains_left;
    on_demand = std::min(on_demand, scaling.max_servers);
    on_demand_left -= std::min(on_demand, on_demand_left);
    uint32_t spot = std::min(spot_per_domain, scaling.max_servers - on_demand);
    if (on_demand + spot < scaling.min_servers) {
      on_demand = scaling.min_servers - spot;
    }
    wanted.push_back({service.name, domain, true, spot});
    wanted.push_back({service.name, domain, false, on_demand});
  }

  std::vector<CapacityOrder> orders;
  for (const CapacityOrder& order : wanted) {
    const bool available = !order.spot || scaling.spot_price.has_value();
    if (available && IsDue(order, running[{order.failure_domain, order.spot}],
                           scaling.boot_time, now)) {
      orders.push_back(order);
    }
  }
  return orders;
}

bool CapacityPlanner::IsDue(const CapacityOrder& order,
                            uint32_t running,
                            Duration boot_time,
                            TimePoint now) const {
  const auto refusal = refused_.find(OrderKey(order));
  if (refusal != refused_.end() && now < refusal->second) {
    return false;
  }
  const auto last = ordered_.find(OrderKey(order));
  if (last == ordered_.end() || last->second.desired != order.desired) {
    return true;
  }
  const Duration arrival = boot_time + settings_.arrival_grace;
  return running < order.desired && now >= last->second.at + arrival;
}

void CapacityPlanner::OnAccepted(const CapacityOrder& order, TimePoint now) {
  ordered_[OrderKey(order)] = {order.desired, now};
  refused_.erase(OrderKey(order));
}

void CapacityPlanner::OnRefused(const CapacityOrder& order, TimePoint now) {
  ordered_.erase(OrderKey(order));
  refused_[OrderKey(order)] = now + settings_.refusal_cooldown;
  const auto history = histories_.find(order.service);
  if (order.spot && history != histories_.end()) {
    history->second.spot_short_until = now + settings_.spot_shortage_time;
  }
}

void CapacityPlanner::Reset() {
  ordered_.clear();
  refused_.clear();
}

}  // namespace qh
