// Driver of the Membership state machine: ticks it, makes its calls to peers
// and reports changes to the node.

#ifndef QH_NODE_CONTROL_MEMBERSHIP_DRIVER_H_
#define QH_NODE_CONTROL_MEMBERSHIP_DRIVER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "qh_http/elastic_pool.h"
#include "qh_membership/membership.h"
#include "qh_node/control/ticker.h"
#include "qh_peer/peer_client.h"

namespace qh {

// Calls from the driver to the rest of the node, made without the driver's
// lock. All are thread safe.
struct MembershipDriverHooks {
  // Returns the status that this node reports about itself.
  std::function<LocalStatus()> status;
  // The set of leaving backend servers, which get no new requests, has changed.
  std::function<void(const std::set<ServerId>&)> on_leaving_servers;
  // `peer` has a newer configuration in force.
  std::function<void(const InstanceId& peer, uint64_t version)> on_newer_config;
};

// Thread safe.
class MembershipDriver {
 public:
  // Creates the driver; nothing runs before Start. Fails with kConfigInvalid.
  static Result<std::unique_ptr<MembershipDriver>> Create(
      const Member& self,
      uint64_t seed,
      PeerClient& client,
      MembershipDriverHooks hooks);
  ~MembershipDriver();

  void Start();
  // Stops the ticks and waits for running calls.
  void Stop();

  // Answers a peer's gossip message. Fails with kPeerMalformed.
  Result<std::string> OnCall(const std::string& body);

  // Passes an event from the platform or from this node to the state machine.
  void HandleEvent(const MembershipEvent& event);

  // Returns every known member, this node included.
  std::vector<Member> members() const;
  // Whether this node has joined the cell.
  bool has_joined() const;

 private:
  MembershipDriver(Membership membership,
                   PeerClient& client,
                   MembershipDriverHooks hooks);

  void Tick();
  // Passes `event` to the state machine and executes its actions. Returns the
  // reply if `event` is a request, otherwise an empty string.
  std::string Advance(const MembershipEvent& event);
  void Call(const MembershipAction& action);

  PeerClient& client_;
  const MembershipDriverHooks hooks_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  Membership membership_;
  ElasticPool calls_;
  std::unique_ptr<Ticker> ticker_;
};

}  // namespace qh

#endif  // QH_NODE_CONTROL_MEMBERSHIP_DRIVER_H_
