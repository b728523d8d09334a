// Runs the Membership object: ticks it, carries its calls over the peer link
// and tells the node what changed.

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

// Called without the driver's lock; all are thread safe.
struct MembershipDriverHooks {
  // What this node tells of itself.
  std::function<LocalStatus()> status;
  // The set of backend servers that get no new work changed.
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
  // Ends the ticks and waits for calls on the way.
  void Stop();

  // Answers a peer's call. Fails with kPeerMalformed.
  Result<std::string> OnCall(const std::string& body);

  // Gives the object an event of the platform or of this node.
  void Tell(const MembershipEvent& event);

  std::vector<Member> members() const;
  bool has_joined() const;

 private:
  MembershipDriver(Membership membership,
                   PeerClient& client,
                   MembershipDriverHooks hooks);

  void Tick();
  // Advances the object and carries out its actions; returns the reply to a
  // request.
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
