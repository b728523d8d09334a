#include "qh_net/connection_limiter.h"

#include <algorithm>

namespace qh {
namespace {

// Added to the time without progress, so that bytes that were received just now
// count as well.
constexpr Duration kNewHoldingAge = std::chrono::milliseconds(100);

}  // namespace

bool ConnectionLimiter::MakeRoom(TimePoint now) {
  while (slots_.size() >= max_connections_) {
    ConnectionSlot* slot = LeastProgress();
    if (slot == nullptr) {
      if (on_limited) {
        on_limited({.limit = ConnectionLimit::kConnections, .refused = true});
      }
      return false;
    }
    Close(*slot, ConnectionLimit::kConnections, now);
  }
  return true;
}

bool ConnectionLimiter::TryHold(HeldBytes& held,
                                uint64_t bytes,
                                const ConnectionSlot* owner,
                                TimePoint now) {
  while (!held.TrySet(bytes)) {
    ConnectionSlot* slot = LargestHolder(owner, bytes, now);
    if (slot == nullptr) {
      if (on_limited) {
        on_limited(
            {.limit = ConnectionLimit::kMemory,
             .refused = true,
             .held = bytes,
             .stalled = owner == nullptr ? Duration(0) : now - owner->since_});
      }
      return false;
    }
    Close(*slot, ConnectionLimit::kMemory, now);
  }
  return true;
}

void ConnectionLimiter::Close(ConnectionSlot& slot,
                              ConnectionLimit limit,
                              TimePoint now) {
  const LimitedConnection limited{
      .limit = limit, .held = slot.held_, .stalled = now - slot.since_};
  // The connection may end in the call, and the slot with it.
  const std::function<void()> close = slot.close_;
  slot.Release();
  close();
  if (on_limited) {
    on_limited(limited);
  }
}

ConnectionSlot* ConnectionLimiter::LeastProgress() const {
  ConnectionSlot* least = nullptr;
  for (ConnectionSlot* slot : slots_) {
    const bool is_less =
        slot->may_close() &&
        (least == nullptr || slot->Progress() < least->Progress());
    least = is_less ? slot : least;
  }
  return least;
}

ConnectionSlot* ConnectionLimiter::LargestHolder(const ConnectionSlot* owner,
                                                 uint64_t bytes,
                                                 TimePoint now) const {
  double most = owner == nullptr ? 0 : owner->Occupation(bytes, now);
  ConnectionSlot* largest = nullptr;
  for (ConnectionSlot* slot : slots_) {
    const double occupation = slot->Occupation(slot->held_, now);
    if (slot != owner && slot->may_close() && occupation > most) {
      most = occupation;
      largest = slot;
    }
  }
  return largest;
}

ConnectionSlot::ConnectionSlot(std::shared_ptr<ConnectionLimiter> limiter,
                               TimePoint now,
                               std::function<void()> close)
    : limiter_(std::move(limiter)),
      close_(std::move(close)),
      index_(limiter_->slots_.size()),
      since_(now) {
  limiter_->slots_.push_back(this);
}

ConnectionSlot::~ConnectionSlot() {
  Release();
}

void ConnectionSlot::SetPhase(ConnectionPhase phase, TimePoint now) {
  if (phase == ConnectionPhase::kIdle) {
    served_ = served_ || phase_ == ConnectionPhase::kSending;
  }
  phase_ = phase;
  since_ = now;
}

void ConnectionSlot::Release() {
  if (!index_) {
    return;
  }
  std::vector<ConnectionSlot*>& slots = limiter_->slots_;
  slots[*index_] = slots.back();
  slots[*index_]->index_ = index_;
  slots.pop_back();
  index_.reset();
}

std::pair<int, TimePoint> ConnectionSlot::Progress() const {
  // The levels: 0 nothing answered yet, or closing; 1 idle after an answer; 2
  // receiving a further request; 3 an answer is ready for the client.
  if (phase_ == ConnectionPhase::kClosing) {
    return {0, since_};
  }
  if (phase_ == ConnectionPhase::kSending) {
    return {3, since_};
  }
  if (!served_) {
    // The phase doesn't count: otherwise clients that stop halfway through a
    // request would be kept, and new ones without a byte yet closed for them.
    return {0, since_};
  }
  return {phase_ == ConnectionPhase::kIdle ? 1 : 2, since_};
}

double ConnectionSlot::Occupation(uint64_t bytes, TimePoint now) const {
  return static_cast<double>(bytes) * ToSeconds(now - since_ + kNewHoldingAge);
}

}  // namespace qh
