// Tells whether the store itself was away or only this node was cut off from
// it. After an outage of the store, registrations that lapsed meanwhile are
// given time to come back; after a cut of this node alone, a registration that
// is missing is gone.

#ifndef QH_GATEWAY_DECISIONS_STORE_REACHABILITY_H_
#define QH_GATEWAY_DECISIONS_STORE_REACHABILITY_H_

#include <map>
#include <optional>
#include <string>

#include "qh_core/time/time.h"

namespace qh {

// What a node tells of its contact with the store.
struct StoreReachabilityReport {
  // Since the store last answered it; nothing if never.
  std::optional<Duration> answered_ago;
  // Since the store came back from an outage that it saw; nothing if none.
  std::optional<Duration> recovered_ago;
};

class StoreReachability {
 public:
  // How long after the store's return a missing registration may come back.
  static constexpr Duration kReregistrationGrace =
      std::chrono::milliseconds(2'200);
  // Failed calls without an answer between them after which contact is lost.
  static constexpr uint32_t kFailuresToUnreachable = 2;
  // A peer's answer counts as one from after this node's first failure only if
  // it is later by this.
  static constexpr Duration kOrderMargin = std::chrono::milliseconds(200);

  void OnAnswer(TimePoint now);
  void OnFailure(TimePoint now);
  void OnPeer(const std::string& node,
              const StoreReachabilityReport& report,
              TimePoint now);

  // Whether calls fail at present.
  bool is_unreachable() const { return failures_ >= kFailuresToUnreachable; }
  // Whether registrations that are missing at `now` are kept for a while.
  bool KeepsMissingServers(TimePoint now) const;
  StoreReachabilityReport Report(TimePoint now) const;

 private:
  struct Peer {
    std::optional<TimePoint> answered;
    std::optional<TimePoint> returned;
  };

  // Whether a peer that saw no outage was answered after `since`.
  bool PeerWasServed(TimePoint since) const;
  std::optional<TimePoint> LastReturn() const;

  uint32_t failures_ = 0;
  // First failure since the last answer.
  TimePoint failing_since_;
  std::optional<TimePoint> answered_;
  // Own view of the end of the last outage.
  std::optional<TimePoint> returned_;
  std::map<std::string, Peer> peers_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_REACHABILITY_H_
