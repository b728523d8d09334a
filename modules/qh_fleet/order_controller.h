// Brings the backend servers of one shard to their desired state by fenced
// orders, on the node that holds the lease of the shard (its owner). A state
// machine after statecharts/upgrade.chart, with one OrderTracker per server. It
// takes events and returns actions; it does no I/O and reads no clock.
//
// Orders of two owners never take effect on one server at the same time. A
// server that checks fencing numbers refuses the orders of the older owner. To
// a server that does not, a new owner sends no order until the last order of
// the older owner can no longer take effect.

#ifndef QH_FLEET_ORDER_CONTROLLER_H_
#define QH_FLEET_ORDER_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_core/text/enum_table.h"
#include "qh_fleet/fleet_state.h"
#include "qh_fleet/order_tracker.h"
#include "qh_fleet/server_order.h"
#include "qh_platform/lease/lease.h"
#include "qh_platform/store/object_store.h"

namespace qh {

// The states of statecharts/upgrade.chart.
enum class UpgradeState {
  kNoLease,
  // Reading the desired state and the stored intent.
  kLoading,
  // Writing the intent under the current lease.
  kAdopting,
  // Reading the servers and sending orders to them.
  kWorking,
  // Another owner has a newer fencing number.
  kSteppedDown,
};

template <>
inline constexpr EnumName<UpgradeState> kEnumNames<UpgradeState>[] = {
    {UpgradeState::kNoLease, "no_lease"},
    {UpgradeState::kLoading, "loading"},
    {UpgradeState::kAdopting, "adopting"},
    {UpgradeState::kWorking, "working"},
    {UpgradeState::kSteppedDown, "stepped_down"},
};

// The events of statecharts/upgrade.chart.
enum class UpgradeEvent {
  kLeaseHeld,
  kLeaseLost,
  // The stored intent, if any, was read and has to be replaced or adopted.
  kLoaded,
  // The stored intent was written under the current lease.
  kAdopted,
  // The write of the intent succeeded.
  kWritten,
  // The write of the intent failed or was not answered.
  kUncertain,
  // The desired state has a newer generation than the intent.
  kNewDesired,
  // The stored intent may have changed during the write of the completion.
  kIntentLost,
  // A server or the stored intent has a newer fencing number.
  kRefused,
};

template <>
inline constexpr EnumName<UpgradeEvent> kEnumNames<UpgradeEvent>[] = {
    {UpgradeEvent::kLeaseHeld, "lease_held"},
    {UpgradeEvent::kLeaseLost, "lease_lost"},
    {UpgradeEvent::kLoaded, "loaded"},
    {UpgradeEvent::kAdopted, "adopted"},
    {UpgradeEvent::kWritten, "written"},
    {UpgradeEvent::kUncertain, "uncertain"},
    {UpgradeEvent::kNewDesired, "new_desired"},
    {UpgradeEvent::kIntentLost, "intent_lost"},
    {UpgradeEvent::kRefused, "refused"},
};

struct OrderSettings {
  // Longest time after sending for which an order may still take effect on a
  // server that does not check fencing numbers. At least the timeout of the
  // order.
  Duration order_lifetime = std::chrono::seconds(10);
  // Added to the wait for an older owner; covers differences between the clock
  // rates of instances.
  Duration clock_margin = std::chrono::seconds(1);
  // Time between two reads of the desired state.
  Duration poll_interval = std::chrono::seconds(10);
  // At most one in this many available servers is under an order at a time, but
  // always at least one.
  uint32_t servers_per_order = 4;
  OrderTrackerTiming timing;
};

// An available server of the shard: it runs and is not leaving.
struct FleetServer {
  ServerId id;
  bool checks_fencing = false;
};

enum class OrderEventKind {
  // Time has passed. Send it at least once a second.
  kTick,
  // `servers` are the available servers; all others have left or are leaving.
  kServers,
  // `store` is the answer to the store call with `token`.
  kStoreReply,
  // `order` is the answer to the order with `token`.
  kOrderReply,
  // `state` is the answer to the read with `token`.
  kStateReply,
};

// Input of OrderController.
struct OrderEvent {
  OrderEventKind kind = OrderEventKind::kTick;
  uint64_t token = 0;
  std::vector<FleetServer> servers;
  StoreReply store;
  OrderReply order;
  ServerStateReply state;
};

enum class OrderActionKind {
  // Send `request` to the store; pass on the answer as kStoreReply.
  kStore,
  // Send `order` to its server; pass on the answer as kOrderReply.
  kSendOrder,
  // Read the state of `order.server`; pass on the answer as kStateReply.
  kReadServer,
  // Release the lease and raise its fencing number to at least `fencing_floor`.
  kStepDown,
  // The intent for `generation` is stored for the first time.
  kUpgradeStarted,
  // Every available server has reached its target of `generation`.
  kUpgradeCompleted,
};

template <>
inline constexpr EnumName<OrderActionKind> kEnumNames<OrderActionKind>[] = {
    {OrderActionKind::kStore, "store"},
    {OrderActionKind::kSendOrder, "send_order"},
    {OrderActionKind::kReadServer, "read_server"},
    {OrderActionKind::kStepDown, "step_down"},
    {OrderActionKind::kUpgradeStarted, "upgrade_started"},
    {OrderActionKind::kUpgradeCompleted, "upgrade_completed"},
};

// Output of OrderController.
struct OrderAction {
  OrderActionKind kind;
  uint64_t token = 0;
  StoreRequest request;
  ServerOrder order;
  uint64_t fencing_floor = 0;
  uint64_t generation = 0;
};

class OrderController {
 public:
  // Creates the controller of `shard`, without a lease. `seed` seeds the jitter
  // of retries.
  static OrderController Create(std::string shard,
                                const OrderSettings& settings,
                                uint64_t seed);

  // Handles one event and returns the actions to carry out, in order. `lease`
  // is the state of the lease at `now`; while it is not held nothing is sent.
  std::vector<OrderAction> Advance(const OrderEvent& event,
                                   const LeaseView& lease,
                                   TimePoint now);

  UpgradeState state() const { return state_; }
  // The upgrade in progress or completed last; nothing if none is known.
  const std::optional<UpgradeIntent>& intent() const { return intent_; }
  // Returns the state of the server's tracker, or nothing if the server has no
  // target.
  std::optional<OrderTrackerState> TrackerStateOf(const ServerId& server) const;

 private:
  using Actions = std::vector<OrderAction>;
  enum class StoreCallPurpose { kReadDesired, kReadIntent, kAdopt, kComplete };

  // A store call in flight. kAdopt and kComplete write the intent.
  struct StoreCall {
    uint64_t token = 0;
    StoreCallPurpose purpose;
    // The intent to be written, for kAdopt and kComplete.
    UpgradeIntent written;
  };

  OrderController(std::string shard,
                  const OrderSettings& settings,
                  uint64_t seed);

  // Applies `event` if the chart allows it in the current state. Returns
  // whether it does.
  bool Apply(UpgradeEvent event);
  void UpdateLease(const LeaseView& lease, TimePoint now);
  void OnServers(const std::vector<FleetServer>& servers, TimePoint now);
  void OnStoreReply(const OrderEvent& event, TimePoint now, Actions& actions);
  void OnDesired(const StoreReply& reply, TimePoint now);
  void OnIntent(const StoreReply& reply, TimePoint now, Actions& actions);
  void StartUpgrade(TimePoint now, Actions& actions);
  void OnAdopted(const StoreCall& call,
                 const StoreReply& reply,
                 TimePoint now,
                 Actions& actions);
  void OnCompleted(const StoreCall& call,
                   const StoreReply& reply,
                   Actions& actions);
  void OnOrderReply(const OrderEvent& event, TimePoint now, Actions& actions);
  void OnStateReply(const OrderEvent& event, TimePoint now);

  // Starts the calls to the store and to servers that are due.
  void StartDueCalls(TimePoint now, Actions& actions);
  void StartStoreCall(Actions& actions);
  void StartServerCalls(TimePoint now, Actions& actions);
  void ReadObject(const std::string& key,
                  StoreCallPurpose purpose,
                  Actions& actions);
  void WriteIntent(UpgradeIntent intent,
                   StoreCallPurpose purpose,
                   Actions& actions);
  void ResetTrackers(TimePoint now);
  bool AllSettled() const;
  // Returns when the first order under the current lease may be sent to a
  // server that does or does not check fencing numbers.
  TimePoint EarliestOrderTime(bool checks_fencing) const;
  // Returns the order that brings `server` to its target.
  ServerOrder OrderFor(const ServerId& server,
                       const OrderTracker& tracker) const;

  std::string shard_;
  OrderSettings settings_;
  Rng rng_;
  UpgradeState state_;
  LeaseView lease_;

  // The available servers, with whether they check fencing numbers.
  std::map<ServerId, bool> available_servers_;
  // One for each target of intent_, also for servers that are not available.
  std::map<ServerId, OrderTracker> trackers_;
  // Reads and orders in flight, by token.
  std::map<uint64_t, ServerId> server_calls_;

  // The newest valid desired state read under the current lease.
  std::optional<DesiredState> desired_;
  // Whether the desired state was read under the current lease.
  bool desired_read_ = false;
  std::optional<UpgradeIntent> intent_;
  // Version of the stored intent, for conditional writes.
  uint64_t intent_version_ = kAbsentVersion;

  // Generation of an upgrade whose first intent was sent to the store but not
  // confirmed.
  std::optional<uint64_t> unconfirmed_generation_;

  std::optional<StoreCall> store_call_;
  // No store call before this time after one failed.
  TimePoint store_retry_at_;
  // When the next store call is due.
  TimePoint next_store_call_at_;
  uint64_t last_token_ = 0;
};

}  // namespace qh

#endif  // QH_FLEET_ORDER_CONTROLLER_H_
