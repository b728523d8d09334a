// Sums of counters that other processes report as totals since their start. A
// relay adds the totals of many processes to one total that only rises, also
// when a process restarts or another relay takes over a failure domain.

#ifndef QH_GATEWAY_DECISIONS_LIMITS_CUMULATIVE_TOTALS_H_
#define QH_GATEWAY_DECISIONS_LIMITS_CUMULATIVE_TOTALS_H_

#include <map>
#include <string>

#include "qh_core/ids/ids.h"

namespace qh {

// Units by team.
using TeamTotals = std::map<TeamId, double>;

class CumulativeTotals {
 public:
  // Processes remembered; all are forgotten when there are more, which only
  // makes their next totals a new baseline.
  static constexpr size_t kMaxProcesses = 2'000;

  // The process `incarnation` reports `totals`; the difference to its last
  // totals belongs to `source`. `from_zero` tells whether all of a new
  // process's totals are to be added; else the first ones are its baseline.
  // Without `counts` nothing is added, because another process reports the
  // same.
  void OnReport(const std::string& source,
                const std::string& incarnation,
                const TeamTotals& totals,
                bool from_zero,
                bool counts);
  // Returns the sum over all sources but `without`.
  TeamTotals SumWithout(const std::string& without) const;

 private:
  std::map<std::string, TeamTotals> last_;
  std::map<std::string, TeamTotals> sums_;
};

// Adds `more` to `totals`.
void AddTotals(TeamTotals& totals, const TeamTotals& more);

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_LIMITS_CUMULATIVE_TOTALS_H_
