// Plans how many servers of an automatically scaled service to run in each
// failure domain, and how many of them are reclaimable (spot) or on-demand.
// Most are reclaimable, spread over the failure domains so that enough remain
// when the busiest domains are lost. A few on-demand servers always run, as
// they can't be reclaimed.

#ifndef QH_GATEWAY_DECISIONS_CAPACITY_CAPACITY_PLANNER_H_
#define QH_GATEWAY_DECISIONS_CAPACITY_CAPACITY_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"
#include "qh_gateway/model/server_record.h"
#include "qh_gateway/model/service_config.h"
#include "qh_gateway/model/wire_codec.h"

namespace qh {

// Current demand for one service, over all nodes.
struct ServiceDemand {
  // Requests in flight at the service's servers.
  double open_requests = 0;
  // Prefill work that arrives, as the number of servers that it keeps busy.
  double prefill_servers = 0;
  // Servers' worth of capacity that rate limits withhold.
  double withheld_servers = 0;
};

class CapacityPlanner {
 public:
  struct Settings {
    // Target share of a server's slots in use.
    double slot_utilization = 0.5;
    // Target share of a server's time spent on prefill.
    double prefill_utilization = 0.5;
    // Failure domains whose reclaimable servers may be lost at once; one where
    // there are no more than three domains.
    double lost_domains = 2;
    // On-demand servers always kept for each server needed.
    double on_demand_share = 0.2;
    // Nothing is ordered for this time after the list of servers became known,
    // because servers of a new deployment register one after the other.
    Duration settling_time = std::chrono::seconds(3);
    // Until the demand is known, this many servers are assumed to be needed for
    // each on-demand server that was found running.
    double initial_need_per_server = 0.6;
    // The demand is known this long after the first request.
    Duration demand_warmup = std::chrono::seconds(8);
    // Share of the needed servers that on-demand servers cover as long as the
    // reclaimable ones don't run.
    double on_demand_cover = 0.9;
    // Time constant of the demand's moving average.
    Duration smoothing_time = std::chrono::seconds(3);
    // The plan uses the highest demand within this time, so that servers are
    // not ended in a short lull.
    Duration peak_window = std::chrono::seconds(12);
    // The same for reclaimable servers. They cost little, and once given back
    // they may not be had again when the demand returns or a failure domain is
    // reclaimed.
    Duration spot_peak_window = std::chrono::seconds(25);
    // The demand's rise is measured over this time. Orders cover what it adds
    // until servers that are ordered now have started.
    Duration trend_window = std::chrono::seconds(4);
    // Largest share by which the expected rise adds to the demand.
    double max_rise = 0.4;
    // After a refused order, reclaimable servers are assumed to be unavailable
    // for this time. On-demand servers then cover the loss of one more failure
    // domain.
    Duration spot_shortage_time = std::chrono::seconds(6);
    // Time before a refused order is tried again.
    Duration refusal_cooldown = std::chrono::seconds(2);
    // Time beyond the boot time before servers that have not registered are
    // ordered again.
    Duration arrival_grace = std::chrono::seconds(3);
  };

  explicit CapacityPlanner(const Settings& settings);

  // Returns the orders for `service` that are due: those that differ from the
  // last accepted ones, and those whose servers have not registered in time or
  // have been lost. `servers` are all known servers, of any service.
  std::vector<CapacityOrder> Plan(
      const ServiceRule& service,
      const ServiceDemand& demand,
      const std::vector<const ServerRecord*>& servers,
      TimePoint now);

  // The cloud accepted or refused an order.
  void OnAccepted(const CapacityOrder& order, TimePoint now);
  void OnRefused(const CapacityOrder& order, TimePoint now);
  // Forgets all orders. To be called when another node may have placed orders
  // in the meantime.
  void Reset();

 private:
  // Service, failure domain and whether reclaimable.
  using Key = std::pair<std::string, std::pair<FailureDomainId, bool>>;
  struct AcceptedOrder {
    uint32_t desired = 0;
    TimePoint at;
  };
  // Needed servers at a time.
  struct Peak {
    TimePoint at;
    double servers = 0;
  };
  // Local maxima within a window, oldest first and decreasing.
  using Peaks = std::vector<Peak>;
  // How many servers a service needs, by how long a past need counts.
  struct Need {
    double on_demand = 0;
    double spot = 0;
  };

  static Key OrderKey(const CapacityOrder& order);
  // Past demand and servers of one service.
  struct History {
    TimePoint first_seen;
    // Needed servers, estimated from the servers that were found running before
    // the first orders.
    double found = 0;
    // Whether orders may have been placed.
    bool planned = false;
    // Time until which reclaimable servers are assumed to be unavailable.
    TimePoint spot_short_until;
    // Moving average of the needed servers, and when it was last updated.
    double average = 0;
    std::optional<TimePoint> averaged_at;
    // Time of the first request.
    std::optional<TimePoint> first_demand_at;
    // Local maxima of the needed servers within peak_window and
    // spot_peak_window.
    Peaks peaks;
    Peaks spot_peaks;
    // Averages within trend_window, oldest first.
    std::vector<Peak> averages;
  };

  // Returns how many reclaimable servers to order for each server needed, so
  // that those of the failure domains that are left suffice with the on-demand
  // ones.
  double SpotPerNeeded(size_t domains) const;
  // Returns how many on-demand servers must replace reclaimable ones.
  double SpotShortfall(
      const History& history,
      double needed,
      const std::map<std::pair<FailureDomainId, bool>, uint32_t>& running,
      TimePoint now) const;
  // Returns how many servers the service needs, after an update of `history`.
  Need NeededServers(History& history,
                     const ServiceRule& service,
                     const ServiceDemand& demand,
                     TimePoint now) const;
  // Returns how many more servers the service is expected to need when servers
  // that are ordered now have started.
  double ExpectedRise(History& history,
                      const ServiceRule& service,
                      TimePoint now) const;
  // Adds the need at `now`, and returns the highest one within `window`.
  static double UpdatePeaks(Peaks& peaks,
                            double servers,
                            Duration window,
                            TimePoint now);

  // Returns whether `order` is to be sent, with `running` servers of its kind
  // in its failure domain.
  bool IsDue(const CapacityOrder& order,
             uint32_t running,
             Duration boot_time,
             TimePoint now) const;

  Settings settings_;
  // The last accepted orders.
  std::map<Key, AcceptedOrder> ordered_;
  // When a refused order may be tried again.
  std::map<Key, TimePoint> refused_;
  // By service.
  std::map<std::string, History> histories_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CAPACITY_CAPACITY_PLANNER_H_
