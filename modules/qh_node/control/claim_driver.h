// Driver of the claim logs. Answers claims of the partitions that this node
// owns and forwards claims of other partitions to their owners.

#ifndef QH_NODE_CONTROL_CLAIM_DRIVER_H_
#define QH_NODE_CONTROL_CLAIM_DRIVER_H_

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "qh_http/elastic_pool.h"
#include "qh_membership/member.h"
#include "qh_node/control/ticker.h"
#include "qh_peer/peer_client.h"
#include "qh_platform/store/object_store.h"
#include "qh_requests/claims/claim_log.h"
#include "qh_requests/request.h"

namespace qh {

// Calls from the driver to the rest of the node. All are thread safe.
struct ClaimDriverHooks {
  StoreHook store;
  // Returns every known member, this node included.
  std::function<std::vector<Member>()> members;
};

// Thread safe.
class ClaimDriver {
 public:
  ClaimDriver(const InstanceId& self,
              uint64_t seed,
              PeerClient& client,
              ClaimDriverHooks hooks);
  ~ClaimDriver();

  void Start();
  // Waits up to 3 s for pending claims and outcomes to be written, then stops.
  // Later claims are refused with kClaimUnavailable.
  void Stop();

  // Claims the idempotency key of `spec`. Blocks until the claim is durable.
  ClaimAnswer Claim(const RequestSpec& spec);
  // Records in the background how a claimed request ended.
  void ReportOutcome(const RequestSpec& spec,
                     OutcomeKind kind,
                     StoredAnswer answer);

  // Answer calls from peers. Fail with kPeerMalformed. OnOutcomeCall also fails
  // with kDraining after Stop.
  Result<std::string> OnClaimCall(const std::string& body);
  Result<std::string> OnOutcomeCall(const std::string& body);

 private:
  using Waiter = std::shared_ptr<std::promise<ClaimAnswer>>;

  void Tick();
  // Submits the claim to this node's own log of the partition.
  ClaimAnswer SubmitLocally(const ClaimRequest& request);
  // Requests the claim from the partition's owner, or locally if the owner is
  // this node or can't be reached.
  ClaimAnswer RequestClaim(const ClaimRequest& request);
  // Sends the report to the partition's owner. Adds it to this node's own log
  // if this node is the owner or after three failed attempts.
  void DeliverReport(const OutcomeReport& report);
  // These three are called with the lock held.
  ClaimLog& LogFor(uint32_t partition);
  void Execute(uint32_t partition, ClaimLog::Actions actions);
  void ResolveWaiter(const ClaimAnswer& answer);
  // Makes a store call for the log and passes the reply to the log. Called
  // without the lock.
  void CallStore(uint32_t partition,
                 uint64_t token,
                 const StoreRequest& request);
  // Returns the owner of a partition, or nothing if it is this node.
  std::optional<Member> RemoteOwner(uint32_t partition) const;
  // Whether a log has claims or outcomes that are not written yet.
  bool HasPendingWrites();

  const InstanceId self_;
  const uint64_t seed_;
  PeerClient& client_;
  const ClaimDriverHooks hooks_;
  std::mutex mutex_;
  // All below are guarded by mutex_.
  // Claim logs by partition. A log is created on first use.
  std::map<uint32_t, ClaimLog> logs_;
  // Claims that wait for their log's answer.
  std::map<RequestId, Waiter> waiters_;
  bool stopping_ = false;

  // Not guarded: thread safe.
  ElasticPool calls_;
  // Set by Start and reset by Stop only.
  std::unique_ptr<Ticker> ticker_;
};

}  // namespace qh

#endif  // QH_NODE_CONTROL_CLAIM_DRIVER_H_
