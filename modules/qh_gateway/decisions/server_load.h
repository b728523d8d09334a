// What the nodes have open at each server: this node's own requests to the
// moment, its peers' as they last report.

#ifndef QH_GATEWAY_DECISIONS_SERVER_LOAD_H_
#define QH_GATEWAY_DECISIONS_SERVER_LOAD_H_

#include <cstdint>
#include <map>
#include <string>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

struct OutstandingWork {
  // Requests sent and not ended.
  uint32_t requests = 0;
  // Prompt tokens that the server has to read for those without a first part.
  double prefill_tokens = 0;

  OutstandingWork& operator+=(const OutstandingWork& other) {
    requests += other.requests;
    prefill_tokens += other.prefill_tokens;
    return *this;
  }
};

using OutstandingWorkByServer = std::map<ServerId, OutstandingWork>;

class ServerLoad {
 public:
  // What a peer report is dropped after this.
  static constexpr Duration kPeerReportLifetime = std::chrono::seconds(1);

  void OnSent(const ServerId& server, double prefill_tokens);
  void OnResponseStarted(const ServerId& server, double prefill_tokens);
  void OnEnded(const ServerId& server);

  // Replaces what `node` report before.
  void OnPeer(const std::string& node,
              OutstandingWorkByServer work,
              TimePoint now);
  // Drops what silent peers report.
  void OnTick(TimePoint now);

  // This node's and its peers' open work at `server`.
  OutstandingWork At(const ServerId& server) const;
  const OutstandingWorkByServer& own() const { return own_; }

 private:
  struct PeerReport {
    OutstandingWorkByServer work;
    TimePoint at;
  };

  void SumPeers();

  OutstandingWorkByServer own_;
  std::map<std::string, PeerReport> peers_;
  // Sum over peers_.
  OutstandingWorkByServer peer_sum_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_SERVER_LOAD_H_
