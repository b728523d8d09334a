#include "qh_gateway/decisions/limits/cumulative_totals.h"

namespace qh {

void AddTotals(TeamTotals& totals, const TeamTotals& more) {
  for (const auto& [team, units] : more) {
    totals[team] += units;
  }
}

void CumulativeTotals::OnReport(const std::string& source,
                                const std::string& incarnation,
                                const TeamTotals& totals,
                                bool from_zero,
                                bool counts) {
  if (last_.size() > kMaxProcesses) {
    last_.clear();
  }
  const auto known = last_.find(incarnation);
  const bool is_new = known == last_.end();
  const TeamTotals previous = !is_new     ? known->second
                              : from_zero ? TeamTotals()
                                          : totals;
  last_[incarnation] = totals;
  if (!counts) {
    return;
  }
  TeamTotals& sum = sums_[source];
  for (const auto& [team, units] : totals) {
    const auto before = previous.find(team);
    sum[team] += units - (before == previous.end() ? 0 : before->second);
  }
}

TeamTotals CumulativeTotals::SumWithout(const std::string& without) const {
  TeamTotals total;
  for (const auto& [source, units] : sums_) {
    if (source != without) {
      AddTotals(total, units);
    }
  }
  return total;
}

}  // namespace qh
