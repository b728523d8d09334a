// When this node's copy of the configuration and of the server list was last
// confirmed to be current, and by whom. A watch that reports nothing may be
// hanging, so only an answer of the store counts: to this node, or to a peer
// whose copy is equal.

#ifndef QH_GATEWAY_DECISIONS_STORE_STATE_FRESHNESS_H_
#define QH_GATEWAY_DECISIONS_STORE_STATE_FRESHNESS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// State that the nodes copy from the store and that has to be current
// everywhere within a bound.
enum class StateKind { kConfig, kServers };

template <>
inline constexpr EnumName<StateKind> kEnumNames<StateKind>[] = {
    {StateKind::kConfig, "config"},
    {StateKind::kServers, "servers"},
};

// An answer of the store, as nodes tell each other of it.
struct ConfirmationReport {
  // The process that the store answered.
  std::string origin;
  // Tells the answers to one process apart; later ones have higher numbers.
  int64_t number = 0;
  // Time since the answer.
  Duration ago{};

  friend bool operator==(const ConfirmationReport&,
                         const ConfirmationReport&) = default;
};

// All times are of the clock that also runs while the instance is suspended,
// because the state ages meanwhile.
class StateFreshness {
 public:
  // Time within which each kind's changes have to be in force.
  struct Bounds {
    Duration config;
    Duration servers;
  };
  struct Confirmation {
    // The process that the store answered, as in ConfirmationReport.
    std::string origin;
    int64_t number = 0;
    // When this node first heard of the answer, less its age then.
    TimePoint at;
  };

  // `self` identifies this process in the reports for its peers.
  StateFreshness(std::string self, const Bounds& bounds);

  // The store answered a call of this node that was sent at `sent_at`: it had
  // nothing newer then than what the node knows now. How long the answer was on
  // its way is not known.
  void OnStoreAnswer(StateKind kind, TimePoint sent_at, TimePoint now);
  // A peer reports an answer of the store. The caller has made sure that the
  // peer's copy is not newer than this node's.
  void OnPeerReport(StateKind kind,
                    const ConfirmationReport& report,
                    TimePoint now);

  // Returns the latest confirmation, or nullopt before the first one.
  const std::optional<Confirmation>& Last(StateKind kind) const {
    return EntryOf(kind).last;
  }
  // Returns the latest confirmation for the peers.
  std::optional<ConfirmationReport> Report(StateKind kind, TimePoint now) const;
  // Returns the time since the latest confirmation; nullopt before the first.
  std::optional<Duration> Age(StateKind kind, TimePoint now) const;
  Duration Bound(StateKind kind) const { return EntryOf(kind).bound; }
  // Whether half of the bound has passed since the latest confirmation. What is
  // left of the bound is for getting the state from elsewhere.
  bool IsAged(StateKind kind, TimePoint now) const;
  // Returns the kinds that have become aged since the last call, each once
  // until it is confirmed anew.
  std::vector<StateKind> TakeAged(TimePoint now);

 private:
  struct Entry {
    Duration bound{};
    std::optional<Confirmation> last;
    // The highest number seen of each origin. Without it, a confirmation that
    // peers report to each other would become younger with each message, by the
    // time that the message travels.
    std::map<std::string, int64_t> numbers;
    // Whether TakeAged has returned the kind since it was current.
    bool reported = false;
  };

  Entry& EntryOf(StateKind kind) {
    return entries_.at(static_cast<size_t>(kind));
  }
  const Entry& EntryOf(StateKind kind) const {
    return entries_.at(static_cast<size_t>(kind));
  }

  std::string self_;
  // By StateKind.
  std::array<Entry, std::size(kEnumNames<StateKind>)> entries_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_STATE_FRESHNESS_H_
