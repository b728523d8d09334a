// One server as the owner of its shard tracks it: the steps of
// statecharts/order.chart with their times. No I/O, no clock.

#ifndef QH_FLEET_ORDER_TRACK_H_
#define QH_FLEET_ORDER_TRACK_H_

#include <cstdint>
#include <optional>
#include <string>

#include "qh_core/random/rng.h"
#include "qh_core/text/enum_table.h"
#include "qh_fleet/server_order.h"

namespace qh {

enum class TrackState {
  kUnread,
  kReading,
  kDue,
  kSent,
  kSettled,
  kRefused,
  kGone,
};

template <>
inline constexpr EnumName<TrackState> kEnumNames<TrackState>[] = {
    {TrackState::kUnread, "unread"},   {TrackState::kReading, "reading"},
    {TrackState::kDue, "due"},         {TrackState::kSent, "sent"},
    {TrackState::kSettled, "settled"}, {TrackState::kRefused, "refused"},
    {TrackState::kGone, "gone"},
};

enum class TrackStep {
  kRead,
  kMatches,
  kDiffers,
  kNoAnswer,
  kSend,
  kAccepted,
  kFailed,
  kRefused,
  kRetarget,
  kServerGone,
  kServerBack,
};

template <>
inline constexpr EnumName<TrackStep> kEnumNames<TrackStep>[] = {
    {TrackStep::kRead, "read"},
    {TrackStep::kMatches, "matches"},
    {TrackStep::kDiffers, "differs"},
    {TrackStep::kNoAnswer, "no_answer"},
    {TrackStep::kSend, "send"},
    {TrackStep::kAccepted, "accepted"},
    {TrackStep::kFailed, "failed"},
    {TrackStep::kRefused, "refused"},
    {TrackStep::kRetarget, "retarget"},
    {TrackStep::kServerGone, "server_gone"},
    {TrackStep::kServerBack, "server_back"},
};

// Pace of one server's reads and orders.
struct TrackPace {
  // First wait after a failed try; doubles up to retry_max, with full jitter.
  Duration retry_base = std::chrono::seconds(1);
  Duration retry_max = std::chrono::seconds(15);
  // Time between two reads of a settled server.
  Duration verify_interval = std::chrono::seconds(30);
};

class OrderTrack {
 public:
  explicit OrderTrack(const TrackPace& pace);

  // Takes `step` if the chart allows it; returns whether it did.
  bool Take(TrackStep step, TimePoint now, Rng& rng);

  TrackState state() const { return state_; }
  // Whether a read is due. A settled server that was last read before
  // `read_after` is read again once that time has come.
  bool ReadDue(TimePoint now, TimePoint read_after) const;
  // Whether an order is due.
  bool SendDue(TimePoint now) const;
  // Ordered but not settled, unless it has failed kTriesInProgress times: such
  // a server must not hold up the others.
  bool in_progress() const { return tries_ > 0 && tries_ <= kTriesInProgress; }
  // When the server was last seen at its target.
  std::optional<TimePoint> settled_at() const { return settled_at_; }
  // Counts the orders of one target; a new number makes a new order id.
  uint32_t repair() const { return repair_; }

 private:
  static constexpr uint32_t kTriesInProgress = 3;

  void Wait(TimePoint now, Rng& rng);

  TrackPace pace_;
  TrackState state_;
  // Tries since the server was last settled.
  uint32_t tries_ = 0;
  uint32_t failed_reads_ = 0;
  uint32_t repair_ = 0;
  // The order `repair_` was accepted; it would not be run again.
  bool accepted_ = false;
  std::optional<TimePoint> settled_at_;
  TimePoint next_at_;
};

}  // namespace qh

#endif  // QH_FLEET_ORDER_TRACK_H_
