// The other gateway nodes: their last reported state, which of them are
// unresponsive, and which nodes callers are sent to. Peers send a heartbeat at
// a regular interval.

#ifndef QH_GATEWAY_DECISIONS_NODES_NODE_TABLE_H_
#define QH_GATEWAY_DECISIONS_NODES_NODE_TABLE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/address/address.h"
#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/store/store_mirror.h"
#include "qh_gateway/model/stored_object.h"

namespace qh {

// A node's state as it reports it in its heartbeats.
struct NodeState {
  // Where the node accepts callers' connections.
  Address callers;
  // Whether the node can serve callers.
  bool ready = false;
  bool draining = false;
  // Whether the store answers the node. Only the node itself tells.
  bool follows_store = false;
  // Version of the configuration that the node uses.
  uint64_t config_version = 0;
  // What the node knows of the backend servers.
  MirrorState servers;
  // The version at which its list of the nodes last changed.
  StoreVersion nodes_changed;
};

class NodeTable {
 public:
  // A node is unresponsive after this time without a heartbeat, or after a few
  // heartbeat intervals if that is longer.
  static constexpr Duration kUnresponsiveAfter =
      std::chrono::milliseconds(1'000);
  // A node is gone after this time without a heartbeat.
  static constexpr Duration kGoneAfter = std::chrono::seconds(20);
  // Nodes given to one caller at most.
  static constexpr size_t kMaxUsable = 64;

  // `self` is the name of this node, which is not part of the table, and
  // `domain` its failure domain.
  NodeTable(std::string self, FailureDomainId domain);

  // Sets the longest time between two heartbeats of a node.
  void SetHeartbeatInterval(Duration interval) {
    heartbeat_interval_ = interval;
  }

  // The store lists `node`, which takes its peers' messages at `peers`. A
  // changed address resets the node's entry.
  void OnListed(const std::string& node,
                const Address& peers,
                const FailureDomainId& domain,
                TimePoint now);
  // A heartbeat of `node` arrived. Ignored until the store lists the node.
  void OnHeartbeat(const std::string& node,
                   const NodeState& state,
                   TimePoint now);
  // A relay lists `node` as responsive. What only the node itself tells of its
  // lists of the store's objects is kept.
  void OnMember(const std::string& node, NodeState state, TimePoint now);

  // Returns the names of all other nodes. Includes the nodes that are gone, so
  // that they are reached again when they return.
  std::vector<std::string> Names() const;
  // Returns the names of the peers that are not gone.
  std::vector<std::string> KnownNames(TimePoint now) const;
  // Returns the address at which a node takes messages, if it is listed.
  std::optional<Address> AddressOf(const std::string& node) const;
  // Returns the last reported state of a node, or null.
  const NodeState* Find(const std::string& node) const;
  // Returns the addresses of the responsive peers whose last reported state
  // fulfils `matches`.
  std::vector<Address> ResponsivePeers(
      const std::function<bool(const NodeState&)>& matches,
      TimePoint now) const;
  // Returns the addresses of the peers of other failure domains that are not
  // gone, responsive or not; of all peers if there is but one domain.
  std::vector<Address> PeersElsewhere(TimePoint now) const;
  // Returns how many responsive peers that follow the store come before this
  // node by name.
  size_t FollowersBeforeSelf(TimePoint now) const;
  // Returns the number of peers that are not gone.
  size_t KnownCount(TimePoint now) const;
  // Returns how many of the known peers are unresponsive.
  size_t UnresponsiveCount(TimePoint now) const;
  // Whether `node` is a peer that is not gone, responsive or not.
  bool IsKnown(const std::string& node, TimePoint now) const;

  // Returns the callers' addresses of the nodes that callers in `domain` can
  // use: `self`, if given, and the peers that are responsive, ready and not
  // draining. If these are more than kMaxUsable, the nodes of the callers'
  // failure domain come first, and others are added so that each node is given
  // to about as many callers. The choice changes little when nodes come and go,
  // because callers drop their connections to nodes that they are no longer
  // given. When the peers that fell silent together outnumber the nodes that
  // still hear each other, and the store has not answered this node since, a
  // network partition of this node is likelier than the failure of so many
  // peers. Those of them whose last heartbeat said ready are then included.
  // `store_answered` is when the store last answered this node.
  std::vector<Address> Usable(const std::optional<Address>& self,
                              const FailureDomainId& domain,
                              std::optional<TimePoint> store_answered,
                              TimePoint now) const;

 private:
  struct Entry {
    // Where the node takes its peers' messages.
    Address peers;
    FailureDomainId domain;
    NodeState state;
    // When the node was last heard of, by its own heartbeat or from a relay;
    // nullopt before.
    std::optional<TimePoint> last_heartbeat;
    // When its own heartbeat last arrived; nullopt before the first one.
    std::optional<TimePoint> heard_itself;
    // When the store last listed the node.
    TimePoint listed_at;
  };

  // Notes what is now known of a listed node.
  void Update(Entry& entry, const NodeState& state, TimePoint now);
  // The longest time without a heartbeat of a responsive node.
  Duration ResponsiveTime() const;
  bool IsResponsive(const Entry& entry, TimePoint now) const;
  bool IsGone(const Entry& entry, TimePoint now) const;
  // Returns since when this node seems to be partitioned from its peers: the
  // peers that were heard later than this and are silent now are likely alive.
  // Returns nullopt if it does not seem so.
  std::optional<TimePoint> PartitionedSince(
      std::optional<TimePoint> store_answered,
      TimePoint now) const;

  std::string self_;
  FailureDomainId domain_;
  Duration heartbeat_interval_ = Duration::zero();
  std::map<std::string, Entry> nodes_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_NODES_NODE_TABLE_H_
