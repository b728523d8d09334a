// Simulates a deployment whose nodes admit the requests of one team, without a
// network: heartbeats and relays' sums as PeerExchange sends them, with delays,
// losses and duplicates; processes that end and start; callers that retry.

#ifndef TESTS_QH_GATEWAY_TEAM_LIMIT_SIMULATION_H_
#define TESTS_QH_GATEWAY_TEAM_LIMIT_SIMULATION_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_gateway/control/peer_digest.h"
#include "qh_gateway/decisions/limits/team_rate_limiter.h"
#include "qh_gateway/decisions/nodes/deployment_size.h"
#include "qh_gateway/decisions/nodes/node_table.h"
#include "qh_gateway/decisions/nodes/relay_ranking.h"

namespace qh::test {

// What the team sends, and how much of it is refunded.
struct TeamLoad {
  double rate = 500'000;
  double burst = 1'000'000;
  // Units per second that the team sends usually, relative to `rate`.
  double usual_share = 0.66;
  // For kFloodLength from `flood_start` after the first request it sends this
  // multiple of that.
  double flood_factor = 7.5;
  Duration flood_start = std::chrono::seconds(1);
  // Share of the requests that are large, and the units of these at most.
  double large_share = 0.1;
  double max_units = 54'600;
  // Units of the other requests at most.
  double max_small_units = 6'000;
  // Share of the admitted requests that don't run and are refunded.
  double refund_share = 0.03;
  // Share of the small requests that have priority 0; all others have 2.
  double urgent_share = 0.0;
  // Requests start this time after the first nodes.
  Duration first_request = std::chrono::seconds(3);
};

struct DeploymentFaults {
  double loss = 0.02;
  double duplicates = 0.01;
  // Mean of the time that a heartbeat takes beyond 1 ms.
  Duration mean_delay = std::chrono::milliseconds(8);
  // Share of the heartbeats that take up to 300 ms longer.
  double late = 0.02;
  // Processes that end, one relay among them, and start again 1.5 s later.
  size_t restarts = 2;
  // Nodes that start only after the first requests.
  size_t late_nodes = 1;
};

// How many requests of a kind came, and what became of them.
struct RequestCounts {
  double offered_units = 0;
  double served_units = 0;
  size_t offered = 0;
  size_t served = 0;
  // Refusals, first tries and retries.
  size_t refusals = 0;
  double served_share() const {
    return offered_units == 0 ? 1.0 : served_units / offered_units;
  }
};

class TeamLimitSimulation {
 public:
  static constexpr Duration kFloodLength = std::chrono::milliseconds(6'500);
  static constexpr Duration kWindow = std::chrono::seconds(8);
  static constexpr double kTolerance = 140'000;

  TeamLimitSimulation(size_t nodes,
                      const TeamLoad& load,
                      const DeploymentFaults& faults,
                      uint64_t seed);

  // Runs until `length` after the first request.
  void Run(Duration length);

  // Most units admitted in any time of kWindow, less those refunded.
  double MaxAdmitted() const;
  // What the limit allows in that time.
  double Bound() const {
    return (load_.rate * ToSeconds(kWindow) + load_.burst) * 1.1 + kTolerance;
  }
  const RequestCounts& small() const { return small_; }
  const RequestCounts& urgent() const { return urgent_; }
  const RequestCounts& large() const { return large_; }
  RequestCounts all() const;
  // Returns the units admitted from `from` to `to` after the first request.
  double ServedBetween(Duration from, Duration to) const;

 private:
  // One process of a node; a restart replaces it.
  struct Process {
    std::string name;
    FailureDomainId domain;
    std::string incarnation;
    TimePoint started;
    Duration tick_phase = Duration::zero();
    TeamRateLimiter limiter;
    NodeTable table;
    RelayRanking ranking;
    PrimaryRelays primaries;
    PeerDigest digest;
    DeploymentSize size;
    bool configured = false;
    bool peers_known = false;
    size_t peer_count = 0;
    uint64_t sequence = 0;
    TimePoint sent_at;
    TimePoint members_sent_at;
    size_t direct_peers = 0;
    std::map<std::string, uint64_t> last_sequences;

    bool has_relays() const { return peer_count + 1 > 16; }
    bool is_relay(TimePoint now) const {
      return !has_relays() || ranking.IsRelay(now);
    }
    Duration interval() const;
  };

  struct Request {
    double units = 0;
    int priority = 2;
    bool large = false;
    TimePoint deadline;
    bool is_retry = false;
  };

  void StartProcess(size_t node);
  void Tick(Process& process);
  void SendHeartbeats(Process& process);
  void SendTo(Process& from, const std::string& to, PeerHeartbeat heartbeat);
  void OnHeartbeat(Process& process, const PeerHeartbeat& heartbeat);
  bool Counts(Process& process, const PeerHeartbeat& heartbeat);
  // Requests of this step.
  void OfferRequests();
  void Send(Request request);
  RequestCounts& CountsOf(const Request& request);
  double MeanUnits() const;

  TeamLoad load_;
  DeploymentFaults faults_;
  Rng rng_;
  TimePoint now_;
  TimePoint first_request_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::string, size_t> by_name_;
  uint64_t next_incarnation_ = 0;
  std::vector<std::pair<TimePoint, size_t>> starts_;
  std::vector<std::pair<TimePoint, size_t>> ends_;
  std::multimap<TimePoint, std::pair<size_t, PeerHeartbeat>> in_flight_;
  std::multimap<TimePoint, Request> retries_;
  struct Refund {
    size_t node = 0;
    std::string incarnation;
    double units = 0;
    TimePoint admitted;
  };
  std::multimap<TimePoint, Refund> refunds_;
  double owed_requests_ = 0;
  std::vector<std::pair<TimePoint, double>> admitted_;
  RequestCounts small_;
  RequestCounts urgent_;
  RequestCounts large_;
};

}  // namespace qh::test

#endif  // TESTS_QH_GATEWAY_TEAM_LIMIT_SIMULATION_H_
