#include "qh_fleet/order_track.h"

#include <algorithm>

#include "qh_core/statechart/state_chart.h"

namespace qh {
namespace {

using Chart = BoundChart<TrackState, TrackStep>;

constexpr uint32_t kMaxDoublings = 10;

constexpr std::string_view kChartText =
#include "order.chart"
    ;

const Chart& OrderChart() {
  static const Chart chart = Chart::Bind(kChartText).value();
  return chart;
}

}  // namespace

OrderTrack::OrderTrack(const TrackPace& pace)
    : pace_(pace), state_(OrderChart().initial()) {}

bool OrderTrack::Take(TrackStep step, TimePoint now, Rng& rng) {
  const auto next = OrderChart().Next(state_, step);
  if (!next) {
    return false;
  }
  state_ = *next;
  switch (step) {
    case TrackStep::kRead:
    case TrackStep::kRefused:
    case TrackStep::kServerGone:
      break;
    case TrackStep::kMatches:
      tries_ = 0;
      failed_reads_ = 0;
      settled_at_ = now;
      next_at_ = now + pace_.verify_interval;
      // A later difference needs an order of its own.
      repair_ += accepted_ ? 1 : 0;
      accepted_ = false;
      break;
    case TrackStep::kDiffers:
      settled_at_.reset();
      failed_reads_ = 0;
      repair_ += accepted_ ? 1 : 0;
      accepted_ = false;
      break;
    case TrackStep::kSend:
      ++tries_;
      break;
    case TrackStep::kAccepted:
      accepted_ = true;
      next_at_ = now;
      break;
    case TrackStep::kFailed:
    case TrackStep::kNoAnswer:
      ++failed_reads_;
      Wait(now, rng);
      break;
    case TrackStep::kRetarget:
    case TrackStep::kServerBack:
      *this = OrderTrack(pace_);
      next_at_ = now;
      break;
  }
  return true;
}

bool OrderTrack::ReadDue(TimePoint now, TimePoint read_after) const {
  if (state_ == TrackState::kUnread) {
    return now >= next_at_;
  }
  if (state_ != TrackState::kSettled) {
    return false;
  }
  return now >= next_at_ || (now >= read_after && *settled_at_ < read_after);
}

bool OrderTrack::SendDue(TimePoint now) const {
  return state_ == TrackState::kDue && now >= next_at_;
}

void OrderTrack::Wait(TimePoint now, Rng& rng) {
  const uint32_t doublings = std::min(tries_ + failed_reads_, kMaxDoublings);
  const Duration grown = pace_.retry_base * (1ll << doublings);
  const Duration wait = std::min(pace_.retry_max, grown);
  next_at_ = now + rng.Between(Duration(0), wait);
}

}  // namespace qh
