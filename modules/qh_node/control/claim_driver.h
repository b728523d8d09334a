// Runs the claim logs: answers the claims of the partitions that this node owns
// and carries those of other partitions to their owners.

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

// All are thread safe.
struct ClaimDriverHooks {
  StoreHook store;
  // Every known member, this node included.
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
  // Writes what waits and ends. Claims asked afterwards are refused.
  void Stop();

  // Gets the claim for `spec` and waits until it is durable.
  ClaimAnswer Claim(const RequestSpec& spec);
  // Records how a claimed request ended; returns at once.
  void Report(const RequestSpec& spec, OutcomeKind kind, StoredAnswer answer);

  // Answers a peer's calls. Fail with kPeerMalformed.
  Result<std::string> OnClaimCall(const std::string& body);
  Result<std::string> OnOutcomeCall(const std::string& body);

 private:
  using Waiter = std::shared_ptr<std::promise<ClaimAnswer>>;

  void Tick();
  ClaimAnswer AskHere(const ClaimRequest& ask);
  ClaimAnswer AskOwner(const ClaimRequest& ask);
  void ReportTo(const OutcomeReport& report);
  ClaimLog& LogOf(uint32_t partition);
  // Both are called with the lock held.
  void Carry(uint32_t partition, ClaimLog::Actions actions);
  void Answer(const ClaimAnswer& answer);
  void Call(uint32_t partition, uint64_t token, const StoreRequest& request);
  // Returns the owner of a partition, or nothing when it is this node.
  std::optional<Member> RemoteOwner(uint32_t partition) const;
  bool HasWaiting();

  const InstanceId self_;
  const uint64_t seed_;
  PeerClient& client_;
  const ClaimDriverHooks hooks_;
  std::mutex mutex_;
  // All below are guarded by mutex_. A log is created at its first use.
  std::map<uint32_t, ClaimLog> logs_;
  std::map<RequestId, Waiter> waiters_;
  bool stopping_ = false;
  ElasticPool calls_;
  std::unique_ptr<Ticker> ticker_;
};

}  // namespace qh

#endif  // QH_NODE_CONTROL_CLAIM_DRIVER_H_
