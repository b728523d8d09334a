// Counts the requests that began to run, per team and window of wall-clock
// time, over all nodes. Every heartbeat of a peer repeats its counts of the
// last windows, so that little is lost with a message or when a node is killed.

#ifndef QH_GATEWAY_DECISIONS_USAGE_USAGE_LEDGER_H_
#define QH_GATEWAY_DECISIONS_USAGE_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

using TeamCounts = std::map<TeamId, uint64_t>;
// Counts by number of the window.
using WindowCounts = std::map<int64_t, TeamCounts>;

// Whose counts a report holds.
enum class UsageScope {
  // One process of this node's failure domain.
  kOwnDomain,
  // All processes of another failure domain, or one of them.
  kOtherDomain,
};

class UsageLedger {
 public:
  // Windows that are reported to peers, and windows that are kept.
  static constexpr int64_t kReportedWindows = 4;
  static constexpr int64_t kKeptWindows = 10;

  // `window` is the length of a window.
  explicit UsageLedger(Duration window);

  // Returns the number of the window that contains `wall`, a time since 1970.
  int64_t WindowOf(Duration wall) const;
  // Returns the end of window number `window`, as a time since 1970.
  Duration EndOf(int64_t window) const;

  // Counts one request of `team` that began at `wall`.
  void Count(const TeamId& team, Duration wall);
  // Merges the counts of `source`: a peer's process, or a failure domain whose
  // relays report the same. Counts never decrease, so reports may arrive
  // repeatedly and out of order.
  void OnPeer(const std::string& source,
              const WindowCounts& counts,
              UsageScope scope = UsageScope::kOwnDomain);

  // Returns this node's counts of the last windows, for its peers.
  WindowCounts Recent() const;
  // Returns the counts of this node's failure domain in the last windows.
  WindowCounts RecentOfDomain() const;
  // Returns the counts of all nodes in window number `window`.
  TeamCounts Total(int64_t window) const;

 private:
  // Removes all but the newest `kept` windows.
  static void Trim(WindowCounts& counts, int64_t kept);

  struct Peer {
    UsageScope scope = UsageScope::kOwnDomain;
    WindowCounts counts;
  };

  Duration window_;
  WindowCounts own_;
  // By source.
  std::map<std::string, Peer> peers_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_USAGE_USAGE_LEDGER_H_
