// The owner of one shard of backend servers: brings them to their desired state
// by fenced orders. A state machine over statecharts/upgrade.chart, with one
// OrderTrack per server. Events in, actions out. No I/O, no clock.
//
// Two owners never order one server at a time: a server that checks fencing
// numbers refuses the older owner; at one that does not, a new owner sends
// nothing until the older owner's last order can no longer take effect.

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
#include "qh_fleet/order_track.h"
#include "qh_fleet/server_order.h"
#include "qh_platform/lease/lease.h"
#include "qh_platform/store/object_store.h"

namespace qh {

enum class UpgradeState {
  kNoLease,
  kLoading,
  kAdopting,
  kWorking,
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

enum class UpgradeStep {
  kLeaseHeld,
  kLeaseLost,
  kLoaded,
  kAdopted,
  kWritten,
  kUncertain,
  kNewDesired,
  kIntentLost,
  kRefused,
};

template <>
inline constexpr EnumName<UpgradeStep> kEnumNames<UpgradeStep>[] = {
    {UpgradeStep::kLeaseHeld, "lease_held"},
    {UpgradeStep::kLeaseLost, "lease_lost"},
    {UpgradeStep::kLoaded, "loaded"},
    {UpgradeStep::kAdopted, "adopted"},
    {UpgradeStep::kWritten, "written"},
    {UpgradeStep::kUncertain, "uncertain"},
    {UpgradeStep::kNewDesired, "new_desired"},
    {UpgradeStep::kIntentLost, "intent_lost"},
    {UpgradeStep::kRefused, "refused"},
};

struct OrderSettings {
  // Longest time after its sending that an order may still take effect at a
  // server that does not check fencing numbers. At least the order's timeout.
  Duration order_lifetime = std::chrono::seconds(10);
  // Covers differences between clock rates in the wait for an older owner.
  Duration clock_margin = std::chrono::seconds(1);
  // Time between two reads of the desired state.
  Duration poll_interval = std::chrono::seconds(10);
  // At most one server in this many is under an order at a time.
  uint32_t servers_per_order = 4;
  TrackPace pace;
};

// A server of the shard that is there and will stay.
struct FleetServer {
  ServerId id;
  bool checks_fencing = false;
};

enum class OrderEventKind {
  // Time passed; due at least once a second.
  kTick,
  // `servers` are there now; all others have left or are leaving.
  kServers,
  // `store` answers the call with `token`.
  kStoreReply,
  // `order` answers the order with `token`.
  kOrderReply,
  // `state` answers the read with `token`.
  kStateReply,
};

struct OrderEvent {
  OrderEventKind kind = OrderEventKind::kTick;
  uint64_t token = 0;
  std::vector<FleetServer> servers;
  StoreReply store;
  OrderReply order;
  ServerStateReply state;
};

enum class OrderActionKind {
  // Send `request` to the store; answer with kStoreReply.
  kStore,
  // Send `order` to its server; answer with kOrderReply.
  kSendOrder,
  // Read the state of `order.server`; answer with kStateReply.
  kReadServer,
  // Release the lease with `fencing_floor`.
  kStepDown,
  // The intent for `generation` is durable for the first time.
  kUpgradeStarted,
  // Every server that is there has reached its target of `generation`.
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
  // Creates the controller of `shard`, without a lease. `seed` feeds jitter.
  static OrderController Create(std::string shard,
                                const OrderSettings& settings,
                                uint64_t seed);

  // Takes one event and returns what to do, in order. `lease` is the view at
  // `now`; without a held lease nothing is sent.
  std::vector<OrderAction> Advance(const OrderEvent& event,
                                   const LeaseView& lease,
                                   TimePoint now);

  UpgradeState state() const { return state_; }
  // The upgrade under way or completed last; nothing before one is known.
  const std::optional<UpgradeIntent>& intent() const { return intent_; }
  // Returns the state of the server's track, or nothing without a target.
  std::optional<TrackState> TrackOf(const ServerId& server) const;

 private:
  using Actions = std::vector<OrderAction>;
  enum class CallPurpose { kReadDesired, kReadIntent, kAdopt, kComplete };

  struct Call {
    uint64_t token = 0;
    CallPurpose purpose;
    UpgradeIntent written;
  };

  OrderController(std::string shard,
                  const OrderSettings& settings,
                  uint64_t seed);

  bool Take(UpgradeStep step);
  void FollowLease(const LeaseView& lease, TimePoint now);
  void OnServers(const std::vector<FleetServer>& servers, TimePoint now);
  void OnStoreReply(const OrderEvent& event, TimePoint now, Actions& actions);
  void OnDesired(const StoreReply& reply, TimePoint now);
  void OnIntent(const StoreReply& reply, TimePoint now, Actions& actions);
  void Begin(TimePoint now, Actions& actions);
  void OnAdopted(const Call& call,
                 const StoreReply& reply,
                 TimePoint now,
                 Actions& actions);
  void OnCompleted(const Call& call, const StoreReply& reply, Actions& actions);
  void OnOrderReply(const OrderEvent& event, TimePoint now, Actions& actions);
  void OnStateReply(const OrderEvent& event, TimePoint now);

  // Starts whatever is due.
  void Work(TimePoint now, Actions& actions);
  void CallStore(Actions& actions);
  void CallServers(TimePoint now, Actions& actions);
  void Read(const std::string& key, CallPurpose purpose, Actions& actions);
  void Write(UpgradeIntent intent, CallPurpose purpose, Actions& actions);
  void Retarget(TimePoint now);
  bool AllSettled() const;
  // When the first order may go to a server of this kind.
  TimePoint SafeAt(bool checks_fencing) const;
  ServerOrder OrderFor(const ServerId& server, const OrderTrack& track) const;

  std::string shard_;
  OrderSettings settings_;
  Rng rng_;
  UpgradeState state_;
  LeaseView lease_;

  // The servers that are there, with whether they check fencing numbers.
  std::map<ServerId, bool> present_;
  // One for each target of intent_, also for servers that are not there.
  std::map<ServerId, OrderTrack> tracks_;
  // Reads and orders in flight, by token.
  std::map<uint64_t, ServerId> server_calls_;

  std::optional<DesiredState> desired_;
  // The desired state was read under this lease.
  bool desired_read_ = false;
  std::optional<UpgradeIntent> intent_;
  uint64_t intent_version_ = kAbsentVersion;

  // Generation of an upgrade whose first intent was sent but not confirmed.
  std::optional<uint64_t> starting_;

  std::optional<Call> call_;
  // No store call before this; only after one failed.
  TimePoint retry_at_;
  TimePoint next_call_at_;
  uint64_t last_token_ = 0;
};

}  // namespace qh

#endif  // QH_FLEET_ORDER_CONTROLLER_H_
