// A node's exchange of heartbeats with the other nodes. In a small deployment
// each node sends its own to all others. In a larger one it sends them to the
// relays of its failure domain, and receives from these the sums of all other
// nodes; see RelayRanking.

#ifndef QH_GATEWAY_CONTROL_PEER_EXCHANGE_H_
#define QH_GATEWAY_CONTROL_PEER_EXCHANGE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "qh_gateway/control/leader_tasks.h"
#include "qh_gateway/control/peer_digest.h"
#include "qh_gateway/control/peer_heartbeat.h"
#include "qh_gateway/decisions/nodes/node_table.h"
#include "qh_gateway/decisions/nodes/relay_ranking.h"
#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

// Runs on the io_context's thread. Passes what the peers report on to the
// state's load, limits and counts.
class PeerExchange {
 public:
  // Deployments of up to this many nodes need no relays.
  static constexpr size_t kMaxNodesWithoutRelays = 16;
  // Time between two heartbeats; more peers make it longer.
  static constexpr Duration kMinHeartbeatInterval =
      std::chrono::milliseconds(150);
  // Time between two lists of the responsive nodes that a relay sends.
  static constexpr Duration kMemberListInterval =
      std::chrono::milliseconds(500);

  struct Hooks {
    // Fills in what the node itself knows: its state, versions and the store's
    // reachability.
    std::function<void(PeerHeartbeat&)> describe_node;
    // A heartbeat arrived; called after the state was updated.
    std::function<void(const PeerHeartbeat&)> on_heartbeat;
  };

  // `incarnation` identifies this process.
  PeerExchange(boost::asio::io_context& io,
               GatewayState& state,
               LeaderTasks& leader_tasks,
               std::string incarnation,
               TimePoint started_at,
               Hooks hooks);

  // Binds the socket at `address`. Fails with kInternal.
  Result<void> Open(const Address& address);
  // Starts to receive heartbeats.
  void Start();
  // Sends the heartbeats that are due and updates what depends on time.
  // `follows_store` tells whether this node follows the store and is answered.
  void OnTick(TimePoint now, bool follows_store);
  // Sends heartbeats at once, because this node's state changed.
  void SendHeartbeats(TimePoint now);
  // The store lists a node.
  void OnListed(const std::string& node,
                const Address& peers,
                const FailureDomainId& domain,
                double capacity,
                TimePoint now);

  const NodeTable& nodes() const { return nodes_; }
  // Whether the deployment is large enough for relays.
  bool has_relays() const;
  // Whether this node has to exchange sums for its failure domain.
  bool acts_as_relay(TimePoint now) const;
  // Returns nullopt if this node need not follow the store, otherwise how long
  // it waits for others to do so. Without relays every node follows the store.
  std::optional<Duration> FollowDelay(TimePoint now) const;
  // Returns the other relays of this node's failure domain that were heard
  // lately.
  std::vector<std::string> HeardRelays(TimePoint now) const {
    return ranking_.HeardRelays(now);
  }
  // Returns the time between two heartbeats of this node.
  Duration heartbeat_interval() const;
  // Returns how many nodes follow the store, this one included if it does.
  size_t StoreFollowers() const;

 private:
  // Tells the servers' rate limits which nodes divide them.
  void UpdateLimitNodes(TimePoint now);
  PeerHeartbeat OwnHeartbeat(TimePoint now);
  // Sends the sums that this relay owes to other nodes.
  void SendAsRelay(const PeerHeartbeat& own, TimePoint now);
  void SendTo(const std::string& node, PeerHeartbeat heartbeat);
  void Receive();
  void OnDatagram(size_t size);
  void OnHeartbeat(const PeerHeartbeat& heartbeat);
  // Notes the sender's own state, and that of the nodes that it lists.
  void UpdateNodes(const PeerHeartbeat& heartbeat, TimePoint now);
  // Whether the work that the heartbeat sums up is to be added.
  bool Counts(const PeerHeartbeat& heartbeat, TimePoint now);
  // Adds the work that the heartbeat sums up to the state.
  void ApplySums(const PeerHeartbeat& heartbeat, TimePoint now);
  void UpdatePrefillRates(const std::string& source,
                          const PeerHeartbeat& heartbeat,
                          TimePoint now);

  struct PrefillRates {
    std::map<std::string, double> by_service;
    TimePoint heard_at;
  };

  GatewayState& state_;
  LeaderTasks& leader_tasks_;
  std::string incarnation_;
  TimePoint started_at_;
  Hooks hooks_;
  NodeTable nodes_;
  RelayRanking ranking_;
  PrimaryRelays primaries_;
  PeerDigest digest_;

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 64U << 10U> receive_buffer_{};
  DeploymentSize size_;
  uint64_t sequence_ = 0;
  TimePoint sent_at_;
  TimePoint members_sent_at_;
  // Peers that the last heartbeats went to.
  size_t direct_peers_ = 0;
  // Sequence number of the last heartbeat of each peer process.
  std::map<std::string, uint64_t> last_sequences_;
  // By source: a node, a failure domain, or all nodes.
  std::map<std::string, PrefillRates> prefill_rates_;
  // Sources with invalid speeds of servers; each is logged once.
  std::set<std::string> invalid_speeds_logged_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_PEER_EXCHANGE_H_
