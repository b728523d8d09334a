// Tracks the orders to one server for the owner of its shard: the state machine
// of statecharts/order.chart with the times of its reads and orders. No I/O, no
// clock.

#ifndef QH_FLEET_ORDER_TRACKER_H_
#define QH_FLEET_ORDER_TRACKER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "qh_core/random/rng.h"
#include "qh_core/text/enum_table.h"
#include "qh_fleet/server_order.h"

namespace qh {

// The states of statecharts/order.chart.
enum class OrderTrackerState {
  // The state of the server has to be read.
  kUnread,
  kReading,
  // The server differs from its target; an order has to be sent.
  kDue,
  kSent,
  // The server is at its target.
  kSettled,
  // The server has accepted an order with a newer fencing number.
  kRefused,
  // The server is not available.
  kGone,
};

template <>
inline constexpr EnumName<OrderTrackerState> kEnumNames<OrderTrackerState>[] = {
    {OrderTrackerState::kUnread, "unread"},
    {OrderTrackerState::kReading, "reading"},
    {OrderTrackerState::kDue, "due"},
    {OrderTrackerState::kSent, "sent"},
    {OrderTrackerState::kSettled, "settled"},
    {OrderTrackerState::kRefused, "refused"},
    {OrderTrackerState::kGone, "gone"},
};

// The events of statecharts/order.chart.
enum class OrderTrackerEvent {
  // A read of the server is started.
  kRead,
  // The read found the server at its target, or not.
  kMatches,
  kDiffers,
  // A read or an order was not answered.
  kNoAnswer,
  // An order is sent.
  kSend,
  // Answers to the order.
  kAccepted,
  kFailed,
  kRefused,
  // The target has changed.
  kRetarget,
  kServerGone,
  kServerBack,
};

template <>
inline constexpr EnumName<OrderTrackerEvent> kEnumNames<OrderTrackerEvent>[] = {
    {OrderTrackerEvent::kRead, "read"},
    {OrderTrackerEvent::kMatches, "matches"},
    {OrderTrackerEvent::kDiffers, "differs"},
    {OrderTrackerEvent::kNoAnswer, "no_answer"},
    {OrderTrackerEvent::kSend, "send"},
    {OrderTrackerEvent::kAccepted, "accepted"},
    {OrderTrackerEvent::kFailed, "failed"},
    {OrderTrackerEvent::kRefused, "refused"},
    {OrderTrackerEvent::kRetarget, "retarget"},
    {OrderTrackerEvent::kServerGone, "server_gone"},
    {OrderTrackerEvent::kServerBack, "server_back"},
};

// Times between the reads of, and the orders to, one server.
struct OrderTrackerTiming {
  // Base of the exponential backoff after a failed read or order. The upper
  // bound of the wait doubles with each failure up to retry_max; the wait is
  // uniform below it (full jitter).
  Duration retry_base = std::chrono::seconds(1);
  Duration retry_max = std::chrono::seconds(15);
  // Time between two reads of a server that is at its target.
  Duration verify_interval = std::chrono::seconds(30);
};

class OrderTracker {
 public:
  explicit OrderTracker(const OrderTrackerTiming& timing);

  // Applies `event` if the chart allows it in the current state. Returns
  // whether it does.
  bool Apply(OrderTrackerEvent event, TimePoint now, Rng& rng);

  OrderTrackerState state() const { return state_; }
  // Whether a read of the server is due. A settled server that was last seen at
  // its target before `read_after` is read again from that time on.
  bool IsReadDue(TimePoint now, TimePoint read_after) const;
  // Whether an order to the server is due.
  bool IsSendDue(TimePoint now) const;
  // Whether the server counts as under an order: it was sent an order and is
  // not settled. After more than kMaxTriesInProgress tries it does not count,
  // so that it does not block the orders to other servers.
  bool in_progress() const {
    return tries_ > 0 && tries_ <= kMaxTriesInProgress;
  }
  // When the server was last seen at its target; nothing since it was seen to
  // differ.
  std::optional<TimePoint> settled_at() const { return settled_at_; }
  // Number of earlier orders for the current target that were accepted. It is
  // part of the order id, so that a repeated order gets a new id.
  uint32_t repair() const { return repair_; }

 private:
  static constexpr uint32_t kMaxTriesInProgress = 3;

  // Sets next_at_ by the exponential backoff.
  void ScheduleRetry(TimePoint now, Rng& rng);

  OrderTrackerTiming timing_;
  OrderTrackerState state_;
  // Orders sent since the server was last settled.
  uint32_t tries_ = 0;
  // Failed reads and orders since the last successful read.
  uint32_t failures_ = 0;
  uint32_t repair_ = 0;
  // The order numbered `repair_` was accepted. The server would not run an
  // order of the same id again.
  bool accepted_ = false;
  std::optional<TimePoint> settled_at_;
  // No read or order before this time.
  TimePoint next_at_;
};

}  // namespace qh

#endif  // QH_FLEET_ORDER_TRACKER_H_
