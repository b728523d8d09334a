// Counts the requests that began to run, by team and window of the wall clock,
// over all nodes. Peers tell their counts of the last windows again and again,
// so that a lost message or a killed node costs little.

#ifndef QH_GATEWAY_DECISIONS_USAGE_LEDGER_H_
#define QH_GATEWAY_DECISIONS_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

using TeamCounts = std::map<TeamId, uint64_t>;
// By number of the window.
using WindowCounts = std::map<int64_t, TeamCounts>;

class UsageLedger {
 public:
  // Windows that are told to peers and kept.
  static constexpr int64_t kReportedWindows = 4;
  static constexpr int64_t kKeptWindows = 10;

  explicit UsageLedger(Duration window);

  // Returns the window that `wall`, a time since 1970, falls into.
  int64_t WindowOf(Duration wall) const;
  // Returns the end of `window` since 1970.
  Duration EndOf(int64_t window) const;

  // Counts one request of `team` that began at `wall`.
  void Count(const TeamId& team, Duration wall);
  // Takes what a peer's process has counted; counts never fall.
  void OnPeer(const std::string& incarnation, const WindowCounts& counts);

  // Returns this node's counts of the last windows, for its peers.
  WindowCounts Recent() const;
  // Returns what all nodes have counted in `window`.
  TeamCounts Total(int64_t window) const;

 private:
  static void Trim(WindowCounts& counts, int64_t kept);

  Duration window_;
  WindowCounts own_;
  // By peer process.
  std::map<std::string, WindowCounts> peers_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_USAGE_LEDGER_H_
