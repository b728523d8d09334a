#include "qh_routing/load/server_load_view.h"

#include <algorithm>
#include <cassert>

namespace qh {
namespace {

// Resolution of the history of own counts. The history covers kHistorySlots
// slots.
constexpr Duration kSlotLength = std::chrono::milliseconds(250);
// Age at which a report has half its weight.
constexpr Duration kReportHalfAge = std::chrono::seconds(3);
// Smoothing factor of the mean over all servers, per report.
constexpr double kMeanSmoothing = 0.02;

int64_t SlotOf(TimePoint time) {
  return time.time_since_epoch() / kSlotLength;
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
  entry.prefill_tokens += prefill_tokens;
  RecordOwnCount(entry, now);
}

void ServerLoadView::OnPrefilled(uint32_t server, double prefill_tokens) {
  Server& entry = servers_[server];
  entry.prefill_tokens = std::max(0.0, entry.prefill_tokens - prefill_tokens);
}

void ServerLoadView::OnEnded(uint32_t server, TimePoint now) {
  Server& entry = servers_[server];
  assert(entry.own > 0);
  --entry.own;
  if (entry.own == 0) {
    entry.prefill_tokens = 0;
  }
  RecordOwnCount(entry, now);
}

void ServerLoadView::OnReport(uint32_t server,
                              uint32_t running,
                              uint32_t queued,
                              TimePoint measured_at) {
  Server& entry = servers_[server];
  if (entry.reported && measured_at <= entry.measured_at) {
    return;
  }
  const double total = double(running) + queued;
  const double own = OwnCountAt(entry, measured_at);
  entry.others = std::max(0.0, total - own);
  entry.others_queued = total > 0 ? queued * entry.others / total : 0;
  entry.measured_at = measured_at;
  entry.reported = true;
  mean_others_ += kMeanSmoothing * (entry.others - mean_others_);
}

double ServerLoadView::InFlight(uint32_t server, TimePoint now) const {
  const Server& entry = servers_[server];
  const double freshness = Freshness(entry, now);
  return entry.own + freshness * entry.others + (1 - freshness) * mean_others_;
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
  return 1 / (1 + std::max(0.0, age) / kReportHalfAge.count());
}

void ServerLoadView::RecordOwnCount(Server& server, TimePoint now) {
  const int64_t slot = SlotOf(now);
  const size_t position = size_t(slot) % kHistorySlots;
  server.slots[position] = slot;
  server.counts[position] = server.own;
}

uint32_t ServerLoadView::OwnCountAt(const Server& server, TimePoint time) {
  const int64_t wanted = SlotOf(time);
  for (int64_t slot = wanted; slot > wanted - int64_t(kHistorySlots); --slot) {
    const size_t position = size_t(slot) % kHistorySlots;
    if (slot >= 0 && server.slots[position] == slot) {
      return server.counts[position];
    }
  }
  return server.own;
}

}  // namespace qh
