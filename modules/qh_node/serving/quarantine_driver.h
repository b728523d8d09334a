// Driver of the crash quarantine (CrashQuarantine) and, on the node that is the
// cell's arbiter, of the grants (CrashArbiter). Requests a grant before a
// dispatch that needs one, and announces sudden server deaths to all nodes of
// the cell.

#ifndef QH_NODE_SERVING_QUARANTINE_DRIVER_H_
#define QH_NODE_SERVING_QUARANTINE_DRIVER_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "qh_http/elastic_pool.h"
#include "qh_membership/member.h"
#include "qh_peer/peer_client.h"
#include "qh_requests/quarantine/crash_arbiter.h"
#include "qh_requests/request.h"

namespace qh {

// Returns every known member, this node included. Thread safe.
using MembersHook = std::function<std::vector<Member>()>;

// Thread safe.
class QuarantineDriver {
 public:
  QuarantineDriver(const InstanceId& self,
                   PeerClient& client,
                   MembersHook members);

  // Returns the server on which `spec` may run: `chosen`, or the one granted by
  // the arbiter. `configured` lists all servers of the pool or route. Blocks
  // until there is a grant: suspect content until its deadline, other content
  // for at most 500 ms. Fails with kQuarantined or kDeadlineUnreachable.
  Result<ServerId> Admit(const RequestSpec& spec,
                         const ServerId& chosen,
                         const std::vector<ServerId>& configured);

  // Whether another node runs suspect content on `server`. Other requests
  // should avoid such a server if they can.
  bool HasRemoteSuspect(const ServerId& server);

  void OnDispatched(const RequestSpec& spec, const ServerId& server);
  // `completed`: the server's answer was complete.
  void OnEnded(const RequestSpec& spec, const ServerId& server, bool completed);
  // Reports that a server died. Several reports of one death count once.
  void OnServerDied(const BackendServer& server, ServerDeath death);

  // Answer calls from peers. Fail with kPeerMalformed.
  Result<std::string> OnGrantCall(const std::string& body);
  Result<std::string> OnGrantEndCall(const std::string& body);
  Result<std::string> OnGrantedRunCall(const std::string& body);
  Result<std::string> OnSuspicionCall(const std::string& body);

  // Takes over or gives up the arbiter's role and drops expired entries. Must
  // be called several times a second.
  void Tick();
  // Waits for running calls to peers.
  void Shutdown() { calls_.Shutdown(); }

 private:
  // Returns the cell's arbiter, which may be this node.
  std::optional<Member> FindArbiter() const;
  std::vector<Member> LiveMembers() const;
  // Requests a grant from `arbiter`. The answer is kWait if it can't be
  // reached.
  GrantAnswer RequestGrant(const Member& arbiter, const GrantRequest& request);
  // Answers as the arbiter. The answer is kWait if this node is not the
  // arbiter.
  GrantAnswer GrantAsArbiter(const GrantRequest& request);
  // Records that a granted run has ended.
  void EndGrant(const GrantEnd& grant_end);
  // Sends `records` to all other live members.
  void AnnounceRecords(const std::vector<SuspicionRecord>& records);
  // Sends `body` to all other live members.
  void SendToPeers(PeerCallKind kind, const std::string& body);

  const InstanceId self_;
  PeerClient& client_;
  const MembersHook members_;
  std::mutex mutex_;
  // All below are guarded by mutex_.
  CrashQuarantine quarantine_;
  // Set while this node is the cell's arbiter.
  std::optional<CrashArbiter> arbiter_;
  // Number of the last grant request of each open request. Requests that never
  // requested a grant have no entry.
  std::map<RequestId, uint64_t> grant_request_numbers_;
  // Not guarded: thread safe.
  ElasticPool calls_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_QUARANTINE_DRIVER_H_
