// How many servers of a scaled service to run, of which kind and where. Most
// run as reclaimable servers, spread so that the loss of the busiest failure
// domains leaves enough; a few others stay that no reclaim can take.

#ifndef QH_GATEWAY_DECISIONS_CAPACITY_PLANNER_H_
#define QH_GATEWAY_DECISIONS_CAPACITY_PLANNER_H_

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

// What the deployment does at one service.
struct ServiceDemand {
  // Requests open at its servers, over all nodes.
  double open_requests = 0;
  // Milliseconds of reading prompts that arrive in a millisecond, in servers.
  double prefill_servers = 0;
};

class CapacityPlanner {
 public:
  struct Settings {
    // Part of its slots that a server should have taken.
    double slot_utilization = 0.5;
    // Part of its time that a server should spend reading prompts.
    double prefill_utilization = 0.5;
    // Reclaimable servers ordered per server needed.
    double spot_overprovisioning = 1.6;
    // Other servers kept per server needed.
    double on_demand_share = 0.2;
    // Nothing is ordered until the list of servers has been known for so long:
    // servers register one after the other.
    Duration settling_time = std::chrono::seconds(3);
    // Part of the servers found at first that is taken to be needed until the
    // demand is known.
    double initial_need_per_server = 0.6;
    // Demand is known after so long with requests.
    Duration demand_warmup = std::chrono::seconds(8);
    // Part of the need that is met by other servers where reclaimable ones are
    // not to be had.
    double on_demand_cover = 0.9;
    // Time over which the demand is averaged.
    Duration smoothing_time = std::chrono::seconds(3);
    // Demand falls slowly in this plan: the highest of so long counts.
    Duration peak_window = std::chrono::seconds(12);
    // After a refused order for reclaimable servers they are taken to be short
    // for so long: others cover the loss of one more failure domain.
    Duration spot_shortage_time = std::chrono::seconds(6);
    // A refused order is not repeated before this.
    Duration refusal_cooldown = std::chrono::seconds(2);
    // Beyond the boot time, until servers that did not come are ordered again.
    Duration arrival_grace = std::chrono::seconds(3);
  };

  explicit CapacityPlanner(const Settings& settings);

  // Returns the orders for `service` that differ from what was last ordered, or
  // whose servers have not come or have been lost. `servers` are all that are
  // known.
  std::vector<CapacityOrder> Plan(
      const ServiceRule& service,
      const ServiceDemand& demand,
      const std::vector<const ServerRecord*>& servers,
      TimePoint now);

  // The cloud took or refused an order.
  void OnAccepted(const CapacityOrder& order, TimePoint now);
  void OnRefused(const CapacityOrder& order, TimePoint now);
  // Another node ordered meanwhile: what was ordered is not known any more.
  void Reset();

 private:
  using Key = std::pair<std::string, std::pair<FailureDomainId, bool>>;
  struct AcceptedOrder {
    uint32_t desired = 0;
    TimePoint at;
  };
  struct Peak {
    TimePoint at;
    double servers = 0;
  };

  static Key OrderKey(const CapacityOrder& order);
  // What is remembered of one service.
  struct History {
    TimePoint first_seen;
    // Need that the servers found before the first orders stand for.
    double found = 0;
    bool planned = false;
    // Until when reclaimable servers are taken to be short.
    TimePoint spot_short_until;
    // Averaged need, and when it was averaged.
    double average = 0;
    std::optional<TimePoint> averaged_at;
    // When requests first came.
    std::optional<TimePoint> first_demand_at;
    // Highest needs of the recent past, falling.
    std::vector<Peak> peaks;
  };

  // How many servers others must stand in for.
  double SpotShortfall(
      const History& history,
      double needed,
      const std::map<std::pair<FailureDomainId, bool>, uint32_t>& running,
      TimePoint now) const;
  double NeededServers(History& history,
                       const ServiceRule& service,
                       const ServiceDemand& demand,
                       TimePoint now) const;

  Settings settings_;
  bool IsDue(const CapacityOrder& order,
             uint32_t running,
             Duration boot_time,
             TimePoint now) const;

  std::map<Key, AcceptedOrder> ordered_;
  // When a refused order may be tried again.
  std::map<Key, TimePoint> refused_;
  std::map<std::string, History> histories_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CAPACITY_PLANNER_H_
