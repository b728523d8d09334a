// Outstanding work of all gateway nodes at each server: this node's exactly,
// its peers' as of their last heartbeat.

#ifndef QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_LOAD_H_
#define QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_LOAD_H_

#include <cstdint>
#include <map>
#include <string>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

// Work that has been sent to a server and is not done.
struct OutstandingWork {
  // Requests in flight.
  uint32_t requests = 0;
  // Prompt tokens of requests in flight whose response has not started, without
  // those that the server is expected to have cached.
  double prefill_tokens = 0;
  // Tokens that the requests in flight are expected to hold in the server's KV
  // cache, see ExpectedKvTokens.
  double kv_tokens = 0;

  OutstandingWork& operator+=(const OutstandingWork& other) {
    requests += other.requests;
    prefill_tokens += other.prefill_tokens;
    kv_tokens += other.kv_tokens;
    return *this;
  }
};

using OutstandingWorkByServer = std::map<ServerId, OutstandingWork>;

class ServerLoad {
 public:
  // A peer's report is dropped after this time without a new one.
  static constexpr Duration kPeerReportLifetime = std::chrono::seconds(1);

  // This node sent a request that needs `prefill_tokens` of prefill and is
  // expected to hold `kv_tokens`.
  void OnSent(const ServerId& server, double prefill_tokens, double kv_tokens);
  // The response to a request that was sent with `prefill_tokens` has started,
  // so its prefill is done.
  void OnResponseStarted(const ServerId& server, double prefill_tokens);
  // A request that was sent with `kv_tokens` ended, after OnResponseStarted.
  void OnEnded(const ServerId& server, double kv_tokens);

  // Replaces the previous report of the peer `node`.
  void OnPeer(const std::string& node,
              OutstandingWorkByServer work,
              TimePoint now);
  // Drops the reports of unresponsive peers.
  void OnTick(TimePoint now);

  // Returns the outstanding work of this node and its peers at `server`.
  OutstandingWork At(const ServerId& server) const;
  // Outstanding work of this node.
  const OutstandingWorkByServer& own() const { return own_; }

 private:
  struct PeerReport {
    OutstandingWorkByServer work;
    TimePoint received_at;
  };

  void UpdatePeerSum();

  OutstandingWorkByServer own_;
  std::map<std::string, PeerReport> peers_;
  // Sum over peers_.
  OutstandingWorkByServer peer_sum_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_LOAD_H_
