// Runs the crash quarantine and, on the cell's arbiter, the grants: asks before
// a dispatch that needs a grant, and tells the cell of sudden deaths.

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

// Every known member, this node included. Thread safe.
using MembersHook = std::function<std::vector<Member>()>;

// Thread safe.
class QuarantineDriver {
 public:
  QuarantineDriver(const InstanceId& self,
                   PeerClient& client,
                   MembersHook members);

  // Returns the server that `spec` may run on: `chosen`, or the one that the
  // arbiter grants. A suspect waits for a grant until its deadline, other
  // content half a second. Fails with kQuarantined or kDeadlineUnreachable.
  // `configured` are all servers of the pool or route.
  Result<ServerId> Admit(const RequestSpec& spec,
                         const ServerId& chosen,
                         const std::vector<ServerId>& configured);

  // Whether another node runs a suspect on `server`: other content goes past
  // it while it can.
  bool SuspectElsewhere(const ServerId& server);

  void OnDispatched(const RequestSpec& spec, const ServerId& server);
  // `whole`: the server answered to the end.
  void OnEnded(const RequestSpec& spec, const ServerId& server, bool whole);
  // Counts one death, however many requests saw it.
  void OnServerDied(const BackendServer& server, ServerDeath death);

  // Answer a peer's calls. Fail with kPeerMalformed.
  Result<std::string> OnGrantCall(const std::string& body);
  Result<std::string> OnGrantEndCall(const std::string& body);
  Result<std::string> OnGrantedRunCall(const std::string& body);
  Result<std::string> OnSuspicionCall(const std::string& body);

  // Becomes or stops to be the arbiter and forgets what is old. Several times a
  // second.
  void Tick();
  void Shutdown() { calls_.Shutdown(); }

 private:
  std::optional<Member> Arbiter() const;
  std::vector<Member> LiveMembers() const;
  GrantAnswer AskArbiter(const Member& arbiter, const GrantRequest& ask);
  GrantAnswer Grant(const GrantRequest& ask);
  void EndGrant(const GrantEnd& end);
  void Tell(const std::vector<SuspicionRecord>& records);
  // Sends `body` to all other live members.
  void TellAll(PeerCallKind kind, const std::string& body);

  const InstanceId self_;
  PeerClient& client_;
  const MembersHook members_;
  std::mutex mutex_;
  // All below are guarded by mutex_.
  CrashQuarantine quarantine_;
  // Set while this node is the cell's arbiter.
  std::optional<CrashArbiter> arbiter_;
  // Number of each open request's last ask; only requests that asked.
  std::map<RequestId, uint64_t> asks_;
  ElasticPool calls_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_QUARANTINE_DRIVER_H_
