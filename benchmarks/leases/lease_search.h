// Seeded search for faults of leases and orders: the product's own Lease,
// ShardMap and OrderController in virtual time, under store outages, lost and
// late answers, pauses, kills, clock drift and late orders.

#ifndef LEASES_LEASE_SEARCH_H_
#define LEASES_LEASE_SEARCH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "benchmarks/leases/event_queue.h"
#include "benchmarks/leases/sim_server.h"
#include "fakes/fake_platform.h"
#include "qh_core/random/rng.h"
#include "qh_core/text/enum_table.h"
#include "qh_fleet/order_controller.h"
#include "qh_platform/lease/lease.h"
#include "qh_platform/lease/shard_map.h"

namespace qh::leases {

// What keeps two owners apart. Each can be taken away from outside the product
// code, to show that the search finds the fault.
enum class Guard {
  // Servers refuse orders with an old fencing number.
  kFencing,
  // The store checks the condition of a write.
  kConditionalWrites,
  // A new owner waits for the older owner's orders to run out.
  kWaitOut,
  // A holder stops before its lease ends.
  kSelfStop,
  // Pauses are noticed, and the clock is read right before an order is sent.
  kPauseCheck,
};

}  // namespace qh::leases

template <>
inline constexpr qh::EnumName<qh::leases::Guard>
    qh::kEnumNames<qh::leases::Guard>[] = {
        {qh::leases::Guard::kFencing, "fencing"},
        {qh::leases::Guard::kConditionalWrites, "conditional_writes"},
        {qh::leases::Guard::kWaitOut, "wait_out"},
        {qh::leases::Guard::kSelfStop, "self_stop"},
        {qh::leases::Guard::kPauseCheck, "pause_check"},
};

namespace qh::leases {

struct SearchSettings {
  uint64_t seed = 1;
  uint32_t nodes = 25;
  uint32_t servers_per_shard = 4;
  // Time with faults, and time without at the end.
  Duration faulty = std::chrono::seconds(900);
  Duration quiet = std::chrono::seconds(240);
  std::set<Guard> guards_off;
};

struct SearchReport {
  uint64_t two_owner_orders_checked = 0;
  uint64_t two_owner_orders_unchecked = 0;
  uint64_t orders_sent = 0;
  uint64_t upgrades_started = 0;
  uint64_t upgrades_completed = 0;
  uint64_t stuck_upgrades = 0;
  uint64_t takeovers = 0;
  double takeover_s_p99 = 0;
  double store_writes_per_s = 0;
  double store_reads_per_s = 0;
  uint64_t watches = 0;
  uint64_t orders_refused = 0;
  uint64_t orders_dropped_late = 0;
  uint64_t pauses = 0;
  uint64_t kills = 0;
  uint64_t outages = 0;
};

class LeaseSearch {
 public:
  explicit LeaseSearch(const SearchSettings& settings);

  // Runs the whole search once.
  SearchReport Run();

 private:
  struct Work {
    Lease lease;
    OrderController controller;
  };
  struct Node {
    InstanceId id;
    uint32_t starts = 0;
    bool alive = true;
    TimePoint paused_until;
    // Without the store.
    TimePoint cut_off_until;
    // Without its peers: they count it as dead, and it hears nothing of them.
    TimePoint isolated_until;
    // Drained: takes no shards.
    TimePoint leaving_until;
    // Shards that it wants against the map, as nodes that disagree do.
    std::set<std::string> disputed;
    // Local time = offset + true time * rate.
    double rate = 1;
    Duration offset;
    std::map<std::string, std::unique_ptr<Work>> works;
  };
  struct Shard {
    std::map<ServerId, std::unique_ptr<SimServer>> servers;
    uint64_t generation = 0;
    ServerTargets targets;
    // Owner's tenure by process and fencing number.
    std::map<std::pair<std::string, uint64_t>, uint64_t> tenures;
    std::string last_owner;
    // When the holder was killed; nothing once another took over.
    std::optional<TimePoint> orphaned_at;
  };

  bool Off(Guard guard) const { return settings_.guards_off.contains(guard); }
  bool quiet() const { return queue_.now() >= quiet_from_; }
  TimePoint LocalTime(const Node& node) const;
  std::string Incarnation(const Node& node) const;
  // Runs `run` on `node` after `wait` and after any pause; dropped if the
  // process has died since.
  void Post(Node& node, Duration wait, std::function<void()> run);
  void PostAt(Node& node,
              uint32_t start,
              TimePoint time,
              std::function<void()> run);

  // Nodes at work.
  void StartNode(Node& node);
  void TickNode(Node& node, uint32_t start);
  Work& WorkOf(Node& node, const std::string& shard);
  void Want(Node& node, const std::string& shard);
  void FollowMap(Node& node);
  void Advance(Node& node, Work& work, const LeaseEvent& event);
  void Advance(Node& node, Work& work, const OrderEvent& event);
  void Act(Node& node, Work& work, const OrderAction& action);
  void OnAcquired(Node& node, const std::string& shard);

  // The world around them.
  void UpdateMembers();
  void CallStore(Node& node,
                 const StoreRequest& request,
                 std::function<void(StoreReply)> reply);
  StoreReply Apply(const StoreRequest& request);
  void SendOrder(Node& node, Work& work, const OrderAction& action);
  void ReadServer(Node& node, Work& work, const OrderAction& action);
  void TellServers(const std::string& shard);
  std::vector<FleetServer> PresentServers(const std::string& shard) const;

  // Faults.
  void PlanFaults();
  void Repeat(Duration mean, const std::function<void()>& fault);
  void Kill(Node& node);
  void Pause(Node& node, Duration time);
  void Isolate(Node& node);
  void Drain(Node& node);
  void Dispute(Node& node);
  void KillServer();
  void ChangeDesired(const std::string& shard);
  Node& AnyNode();
  const std::string& AnyShard();
  Duration Span(double low_s, double high_s);

  SearchReport Report();

  SearchSettings settings_;
  LeaseSettings lease_settings_;
  OrderSettings order_settings_;
  Rng rng_;
  EventQueue queue_;
  TimePoint quiet_from_;
  fakes::FakePlatform store_;
  TimePoint outage_until_;
  TimePoint slow_until_;
  ShardMap map_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, Shard> shards_;
  uint64_t tenures_ = 0;
  std::vector<double> takeover_s_;
  SearchReport report_;
};

}  // namespace qh::leases

#endif  // LEASES_LEASE_SEARCH_H_
