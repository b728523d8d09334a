#include "qh_routing/load/server_load_view.h"

#include <algorithm>
#include <cassert>

namespace qh {
namespace {

// Resolution and, with kHistory slots, reach of the history of own counts.
constexpr Duration kSlot = std::chrono::milliseconds(250);
// Age at which a report counts half.
constexpr Duration kHalfAge = std::chrono::seconds(3);
constexpr double kMeanGain = 0.02;

int64_t SlotOf(TimePoint time) {
  return time.time_since_epoch() / kSlot;
}

}  // namespace

void ServerLoadView::Resize(size_t count) {
  servers_.resize(std::max(count, servers_.size()));
}

void ServerLoadView::OnDispatched(uint32_t server,
                                  double prefill_tokens,
                                  TimePoint now) {
  Server& entry = servers_[server];
  ++entry.own;
  entry.prefill += prefill_tokens;
  Remember(entry, now);
}

void ServerLoadView::OnPrefilled(uint32_t server, double prefill_tokens) {
  Server& entry = servers_[server];
  entry.prefill = std::max(0.0, entry.prefill - prefill_tokens);
}

void ServerLoadView::OnEnded(uint32_t server, TimePoint now) {
  Server& entry = servers_[server];
  assert(entry.own > 0);
  --entry.own;
  if (entry.own == 0) {
    entry.prefill = 0;
  }
  Remember(entry, now);
}

void ServerLoadView::OnReport(uint32_t server,
                              uint32_t running,
                              uint32_t queued,
                              TimePoint measured_at) {
  Server& entry = servers_[server];
  if (entry.reported && measured_at <= entry.measured_at) {
    return;
  }
  const double all = double(running) + queued;
  const double own = OwnAt(entry, measured_at);
  entry.others = std::max(0.0, all - own);
  entry.others_queued = all > 0 ? queued * entry.others / all : 0;
  entry.measured_at = measured_at;
  entry.reported = true;
  mean_others_ += kMeanGain * (entry.others - mean_others_);
}

double ServerLoadView::InFlight(uint32_t server, TimePoint now) const {
  const Server& entry = servers_[server];
  const double fresh = Freshness(entry, now);
  return entry.own + fresh * entry.others + (1 - fresh) * mean_others_;
}

double ServerLoadView::OthersQueued(uint32_t server, TimePoint now) const {
  const Server& entry = servers_[server];
  return Freshness(entry, now) * entry.others_queued;
}

double ServerLoadView::Freshness(const Server& server, TimePoint now) {
  if (!server.reported) {
    return 0;
  }
  const double age = double((now - server.measured_at).count());
  return 1 / (1 + std::max(0.0, age) / kHalfAge.count());
}

void ServerLoadView::Remember(Server& server, TimePoint now) {
  const int64_t slot = SlotOf(now);
  const size_t at = size_t(slot) % kHistory;
  server.slots[at] = slot;
  server.counts[at] = server.own;
}

uint32_t ServerLoadView::OwnAt(const Server& server, TimePoint when) {
  const int64_t wanted = SlotOf(when);
  for (int64_t slot = wanted; slot > wanted - int64_t(kHistory); --slot) {
    const size_t at = size_t(slot) % kHistory;
    if (slot >= 0 && server.slots[at] == slot) {
      return server.counts[at];
    }
  }
  return server.own;
}

}  // namespace qh
