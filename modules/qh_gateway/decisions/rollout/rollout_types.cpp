#include "qh_gateway/decisions/rollout/rollout_types.h"

#include <algorithm>

namespace qh {
namespace {

// Unless the report is `fresh`, drops what may have changed since.
void DropGauges(RolloutReport& report, bool fresh) {
  if (!fresh) {
    report.nodes = 0;
    report.drained_nodes = 0;
    report.open_at_old = 0;
  }
}

}  // namespace

VersionCounts& VersionCounts::operator+=(const VersionCounts& more) {
  for (const auto& [route, counts] : more.old_version) {
    old_version[route] += counts;
  }
  for (const auto& [route, counts] : more.new_version) {
    new_version[route] += counts;
  }
  return *this;
}

void AddReport(RolloutReport& sum, const RolloutReport& more, bool fresh) {
  if (!sum.order.IsSameAs(more.order)) {
    // Nodes that know another order are not part of this one yet.
    if (more.order.version > sum.order.version) {
      sum = more;
      DropGauges(sum, fresh);
    }
    return;
  }
  sum.phase = std::max(sum.phase, more.phase);
  sum.age = std::max(sum.age, more.age);
  sum.counts += more.counts;
  sum.complete = sum.complete || more.complete;
  if (fresh) {
    sum.nodes += more.nodes;
    sum.drained_nodes += more.drained_nodes;
    sum.open_at_old += more.open_at_old;
  }
}

void AddReports(RolloutReports& sum, const RolloutReports& more, bool fresh) {
  for (const auto& [service, report] : more) {
    const auto [known, added] = sum.try_emplace(service, report);
    if (!added) {
      AddReport(known->second, report, fresh);
    } else {
      DropGauges(known->second, fresh);
    }
  }
}

}  // namespace qh
