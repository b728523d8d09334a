// Decides which nodes act as relays, and which of them follow the store. The
// nodes of a failure domain send their heartbeats to its relays only. The
// relays exchange sums with those of the other failure domains and pass them
// on. The first relay follows the store, and all other nodes of the domain take
// its state from there. So a node's messages and the calls to the store don't
// grow with the number of nodes.
//
// Every node ranks the nodes of a failure domain alike and takes the first few;
// nothing is agreed upon. When relays fall silent, the next ones act as well
// until enough are heard again.

#ifndef QH_GATEWAY_DECISIONS_NODES_RELAY_RANKING_H_
#define QH_GATEWAY_DECISIONS_NODES_RELAY_RANKING_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

class RelayRanking {
 public:
  // Relays of a failure domain while all are well. Two, so that the loss of one
  // is not noticed.
  static constexpr size_t kRelays = 2;
  // Nodes that act as relays at most while the first ones are silent.
  static constexpr size_t kMaxRelays = 6;
  // A relay that was not heard for this time is silent.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(1'200);
  // A relay waits this long for each relay before it until it follows the store
  // in their place.
  static constexpr Duration kTakeoverStep = std::chrono::milliseconds(300);
  // A node of which nothing is known for this time is left out.
  static constexpr Duration kLostAfter = std::chrono::seconds(6);

  // `capacity` compares the nodes: a larger one is a relay rather.
  RelayRanking(std::string self, FailureDomainId domain, double capacity);

  // The store lists `node`.
  void OnListed(const std::string& node,
                const FailureDomainId& domain,
                double capacity,
                TimePoint now);
  // The node was alive at `at`, by its own or another node's word.
  void OnAlive(const std::string& node, TimePoint at);
  // A message came from `node`, which acts as a relay. `follows_store` tells
  // whether it follows the store and is answered, `leader` whether it performs
  // the leader's tasks; leaders rank first.
  void OnRelayHeard(const std::string& node,
                    bool follows_store,
                    bool leader,
                    TimePoint now);
  // Sets whether this node performs the leader's tasks, and whether it follows
  // the store and is answered.
  void SetOwnState(bool leader, bool follows_store) {
    leads_ = leader;
    follows_store_ = follows_store;
  }

  // Returns the nodes of `domain` that act as relays, as far as is known. This
  // node may be one of them.
  std::vector<std::string> Relays(const FailureDomainId& domain,
                                  TimePoint now) const;
  // Whether this node has to act as a relay.
  bool IsRelay(TimePoint now) const;
  // Returns nullopt if this node need not follow the store, otherwise how long
  // it waits for the relays before it to do so.
  std::optional<Duration> FollowDelay(TimePoint now) const;
  // Returns the other relays of this node's failure domain that were heard
  // lately, also those that the store doesn't answer.
  std::vector<std::string> HeardRelays(TimePoint now) const;
  // Returns the other nodes of this node's failure domain.
  std::vector<std::string> DomainPeers(TimePoint now) const;
  // Returns the other failure domains.
  std::vector<FailureDomainId> OtherDomains() const;

 private:
  struct Node {
    FailureDomainId domain;
    double capacity = 0;
    // When the node was alive, or was first listed.
    TimePoint alive_at;
    // When it was last heard as a relay, as one that the store answers, and as
    // the leader.
    std::optional<TimePoint> relay_at;
    std::optional<TimePoint> following_at;
    std::optional<TimePoint> leader_at;
  };

  // Whether the node is heard as a relay; this node counts as heard.
  bool IsHeard(const std::string& name, const Node& node, TimePoint now) const;
  // Whether the node is a relay that follows the store and is answered.
  bool IsFollowing(const std::string& name,
                   const Node& node,
                   TimePoint now) const;
  bool IsLeader(const std::string& name, const Node& node, TimePoint now) const;
  bool IsLost(const std::string& name, const Node& node, TimePoint now) const;
  // Returns the names of the nodes of `domain` that may be alive, best first.
  std::vector<std::string> Ranked(const FailureDomainId& domain,
                                  TimePoint now) const;

  std::string self_;
  FailureDomainId domain_;
  bool leads_ = false;
  bool follows_store_ = false;
  std::map<std::string, Node> nodes_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_NODES_RELAY_RANKING_H_
