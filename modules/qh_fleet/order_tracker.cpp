#include "qh_fleet/order_tracker.h"

#include <algorithm>

#include "qh_core/statechart/state_chart.h"

namespace qh {
namespace {

using Chart = BoundChart<OrderTrackerState, OrderTrackerEvent>;

// Limits the exponent of the backoff, to avoid an overflow.
constexpr uint32_t kMaxDoublings = 10;

constexpr std::string_view kChartText =
#include "order.chart"
    ;

const Chart& OrderChart() {
  static const Chart chart = Chart::Bind(kChartText).value();
  return chart;
}

}  // namespace

OrderTracker::OrderTracker(const OrderTrackerTiming& timing)
    : timing_(timing), state_(OrderChart().initial()) {}

bool OrderTracker::Apply(OrderTrackerEvent event, TimePoint now, Rng& rng) {
  const auto next = OrderChart().Next(state_, event);
  if (!next) {
    return false;
  }
  state_ = *next;
  switch (event) {
    case OrderTrackerEvent::kRead:
    case OrderTrackerEvent::kRefused:
    case OrderTrackerEvent::kServerGone:
      break;
    case OrderTrackerEvent::kMatches:
      tries_ = 0;
      failures_ = 0;
      settled_at_ = now;
      next_at_ = now + timing_.verify_interval;
      // If the server differs again later, it needs an order with a new id.
      repair_ += accepted_ ? 1 : 0;
      accepted_ = false;
      break;
    case OrderTrackerEvent::kDiffers:
      settled_at_.reset();
      failures_ = 0;
      repair_ += accepted_ ? 1 : 0;
      accepted_ = false;
      break;
    case OrderTrackerEvent::kSend:
      ++tries_;
      break;
    case OrderTrackerEvent::kAccepted:
      accepted_ = true;
      next_at_ = now;
      break;
    case OrderTrackerEvent::kFailed:
    case OrderTrackerEvent::kNoAnswer:
      ++failures_;
      ScheduleRetry(now, rng);
      break;
    case OrderTrackerEvent::kRetarget:
    case OrderTrackerEvent::kServerBack:
      *this = OrderTracker(timing_);
      next_at_ = now;
      break;
  }
  return true;
}

bool OrderTracker::IsReadDue(TimePoint now, TimePoint read_after) const {
  if (state_ == OrderTrackerState::kUnread) {
    return now >= next_at_;
  }
  if (state_ != OrderTrackerState::kSettled) {
    return false;
  }
  return now >= next_at_ || (now >= read_after && *settled_at_ < read_after);
}

bool OrderTracker::IsSendDue(TimePoint now) const {
  return state_ == OrderTrackerState::kDue && now >= next_at_;
}

void OrderTracker::ScheduleRetry(TimePoint now, Rng& rng) {
  const uint32_t doublings = std::min(tries_ + failures_, kMaxDoublings);
  const Duration backoff = timing_.retry_base * (1ll << doublings);
  const Duration wait = std::min(timing_.retry_max, backoff);
  next_at_ = now + rng.Between(Duration(0), wait);
}

}  // namespace qh
