// Hands open requests over to peers when this node leaves, and accepts requests
// of leaving peers.

#ifndef QH_NODE_HANDOVER_REQUEST_HANDOVER_H_
#define QH_NODE_HANDOVER_REQUEST_HANDOVER_H_

#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "qh_http/elastic_pool.h"
#include "qh_membership/member.h"
#include "qh_node/handover/handover_payload.h"
#include "qh_node/serving/request_table.h"
#include "qh_peer/peer_client.h"
#include "qh_requests/handover/handover_record.h"

namespace qh {

// Calls from RequestHandover to the rest of the node. All are thread safe.
struct HandoverHooks {
  // Returns live members other than this node, in the order in which to offer
  // them the request.
  std::function<std::vector<Member>(const RequestRecord&)> peers;
  // Whether this node accepts requests from peers.
  std::function<bool()> accepting;
  // Runs a request to its end.
  std::function<void(RequestRecord&)> run;
};

// Thread safe.
class RequestHandover {
 public:
  RequestHandover(PeerClient& client, RequestTable& table, HandoverHooks hooks);

  // Hands `record` over to the first peer that accepts it. Fails with
  // kPeerUnreachable if none does; the request then continues on this node.
  Result<void> HandOver(RequestRecord& record);

  // Reports the result of a non-idempotent call to the peer that accepted
  // `record`. Does nothing for idempotent requests, which the peer runs itself.
  void ReportResult(const RequestRecord& record,
                    const Result<CompleteAnswer>& result);

  // Accepts the request in `body` from a peer. A second call with the same
  // request does nothing. Fails with kDraining or kPeerMalformed.
  Result<void> Accept(const std::string& body);

  // Receives the result of an accepted request whose call stayed on the old
  // node. Fails with kUnknownRequest or kPeerMalformed.
  Result<void> ReceiveResult(const std::string& body);

  // Waits until the accepted requests have ended.
  void Shutdown() { pool_.Shutdown(); }

 private:
  // Blocks until the result is received. After the request's deadline ends the
  // record with kOutcomeUnknown.
  void AwaitResult(RequestRecord& record) const;

  PeerClient& client_;
  RequestTable& table_;
  HandoverHooks hooks_;
  std::mutex mutex_;
  // Peers that accepted requests of this node; they get the results of calls
  // that still run here. Guarded by mutex_.
  std::map<RequestId, Address> new_owners_;
  // Declared last, because its threads use all members above.
  ElasticPool pool_;
};

}  // namespace qh

#endif  // QH_NODE_HANDOVER_REQUEST_HANDOVER_H_
