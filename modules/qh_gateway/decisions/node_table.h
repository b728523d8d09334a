// The other nodes: who is last_heartbeat, who is unresponsive, and which nodes
// callers are told to use.

#ifndef QH_GATEWAY_DECISIONS_NODE_TABLE_H_
#define QH_GATEWAY_DECISIONS_NODE_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/address/address.h"
#include "qh_core/time/time.h"

namespace qh {

// What a node says of itself.
struct NodeState {
  std::string incarnation;
  Address callers;
  bool ready = false;
  bool draining = false;
  uint64_t config_version = 0;
  uint64_t servers_revision = 0;
};

class NodeTable {
 public:
  // A node that is not last_heartbeat for so long is unresponsive.
  static constexpr Duration kUnresponsiveAfter =
      std::chrono::milliseconds(1'000);
  // A unresponsive node counts as gone after this.
  static constexpr Duration kGoneAfter = std::chrono::seconds(20);

  explicit NodeTable(std::string self);

  // Longest time between two messages of a node; stretches kUnresponsiveAfter.
  void SetHeartbeatInterval(Duration interval) {
    heartbeat_interval_ = interval;
  }

  // The store lists a node that takes messages at `peers`.
  void OnListed(const std::string& node, const Address& peers, TimePoint now);
  // A node said this.
  void OnHeartbeat(const std::string& node,
                   const NodeState& state,
                   TimePoint now);

  // Returns where each other node takes messages; gone ones too, so that they
  // are found when they come back.
  std::vector<Address> Peers() const;
  // Returns the address of a node that is last_heartbeat and knows a newer
  // configuration than `version`.
  std::optional<Address> PeerWithConfigAfter(uint64_t version,
                                             TimePoint now) const;
  // The same for the list of servers.
  std::optional<Address> PeerWithServersAfter(uint64_t revision,
                                              TimePoint now) const;
  // Nodes other than this one that are not gone, and those of them not
  // last_heartbeat.
  size_t KnownCount(TimePoint now) const;
  size_t UnresponsiveCount(TimePoint now) const;
  // Whether `node` is one of those, last_heartbeat or not.
  bool IsKnown(const std::string& node, TimePoint now) const;

  // Returns the nodes that callers can use: the ready ones that are
  // last_heartbeat. When at least half of the others have gone unresponsive,
  // this node is likelier cut off than they are down, and those last known as
  // ready are named as well.
  std::vector<Address> Usable(const std::optional<Address>& self,
                              TimePoint now) const;

 private:
  struct Entry {
    Address peers;
    NodeState state;
    // Nothing until it was last_heartbeat.
    std::optional<TimePoint> last_heartbeat;
    TimePoint listed_at;
  };

  bool IsResponsive(const Entry& entry, TimePoint now) const;
  bool IsGone(const Entry& entry, TimePoint now) const;

  std::string self_;
  Duration heartbeat_interval_ = Duration::zero();
  std::map<std::string, Entry> nodes_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_NODE_TABLE_H_
