#include "qh_gateway/decisions/placement/server_load.h"

#include <algorithm>

namespace qh {

void ServerLoad::OnSent(const ServerId& server,
                        double prefill_tokens,
                        double kv_tokens) {
  own_[server] +=
      {.requests = 1, .prefill_tokens = prefill_tokens, .kv_tokens = kv_tokens};
}

void ServerLoad::OnResponseStarted(const ServerId& server,
                                   double prefill_tokens) {
  OutstandingWork& work = own_[server];
  work.prefill_tokens = std::max(0.0, work.prefill_tokens - prefill_tokens);
}

void ServerLoad::OnEnded(const ServerId& server, double kv_tokens) {
  const auto found = own_.find(server);
  if (found == own_.end()) {
    return;
  }
  if (found->second.requests <= 1) {
    own_.erase(found);
  } else {
    --found->second.requests;
    found->second.kv_tokens =
        std::max(0.0, found->second.kv_tokens - kv_tokens);
  }
}

void ServerLoad::OnPeer(const std::string& node,
                        OutstandingWorkByServer work,
                        TimePoint now) {
  peers_[node] = {std::move(work), now};
  UpdatePeerSum();
}

void ServerLoad::OnTick(TimePoint now) {
  const size_t dropped = std::erase_if(peers_, [&](const auto& peer) {
    return peer.second.received_at + kPeerReportLifetime < now;
  });
  if (dropped > 0) {
    UpdatePeerSum();
  }
}

void ServerLoad::UpdatePeerSum() {
  peer_sum_.clear();
  for (const auto& [node, report] : peers_) {
    for (const auto& [server, work] : report.work) {
      peer_sum_[server] += work;
    }
  }
}

OutstandingWork ServerLoad::At(const ServerId& server) const {
  OutstandingWork work;
  for (const OutstandingWorkByServer* source : {&own_, &peer_sum_}) {
    const auto found = source->find(server);
    if (found != source->end()) {
      work += found->second;
    }
  }
  return work;
}

}  // namespace qh
