#include "qh_gateway/decisions/store/state_freshness.h"

#include <utility>

namespace qh {
namespace {

// Origins remembered; with more, all are forgotten. Each restart of a process
// brings a new one.
constexpr size_t kMaxOrigins = 256;

}  // namespace

StateFreshness::StateFreshness(std::string self, const Bounds& bounds)
    : self_(std::move(self)) {
  EntryOf(StateKind::kConfig).bound = bounds.config;
  EntryOf(StateKind::kServers).bound = bounds.servers;
}

void StateFreshness::OnStoreAnswer(StateKind kind,
                                   TimePoint sent_at,
                                   TimePoint now) {
  OnPeerReport(kind,
               {.origin = self_,
                .number = sent_at.time_since_epoch().count(),
                .ago = now - sent_at},
               now);
}

void StateFreshness::OnPeerReport(StateKind kind,
                                  const ConfirmationReport& report,
                                  TimePoint now) {
  Entry& entry = EntryOf(kind);
  const auto known = entry.numbers.find(report.origin);
  if (known != entry.numbers.end() && known->second >= report.number) {
    return;
  }
  if (entry.numbers.size() >= kMaxOrigins) {
    entry.numbers.clear();
  }
  entry.numbers[report.origin] = report.number;
  const TimePoint at = now - report.ago;
  if (!entry.last || entry.last->at < at) {
    entry.last = {.origin = report.origin, .number = report.number, .at = at};
  }
}

std::optional<ConfirmationReport> StateFreshness::Report(StateKind kind,
                                                         TimePoint now) const {
  const auto& last = Last(kind);
  if (!last) {
    return std::nullopt;
  }
  return ConfirmationReport{
      .origin = last->origin, .number = last->number, .ago = now - last->at};
}

std::optional<Duration> StateFreshness::Age(StateKind kind,
                                            TimePoint now) const {
  const auto& last = Last(kind);
  return last ? std::optional<Duration>(now - last->at) : std::nullopt;
}

bool StateFreshness::IsAged(StateKind kind, TimePoint now) const {
  const auto age = Age(kind, now);
  return age && *age > Bound(kind) / 2;
}

std::vector<StateKind> StateFreshness::TakeAged(TimePoint now) {
  std::vector<StateKind> aged;
  for (const auto& row : kEnumNames<StateKind>) {
    const bool is_aged = IsAged(row.value, now);
    Entry& entry = EntryOf(row.value);
    if (is_aged && !entry.reported) {
      aged.push_back(row.value);
    }
    entry.reported = is_aged;
  }
  return aged;
}

}  // namespace qh
