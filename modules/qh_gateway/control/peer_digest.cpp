#include "qh_gateway/control/peer_digest.h"

namespace qh {

bool PrimaryRelays::Accept(const std::string& source,
                           const std::string& relay,
                           TimePoint now) {
  Primary& primary =
      primaries_.try_emplace(source, Primary{relay, now}).first->second;
  if (primary.relay != relay && now - primary.heard_at < kSilentAfter) {
    return false;
  }
  primary = {relay, now};
  return true;
}

MemberState MemberOf(const PeerHeartbeat& heartbeat) {
  return {.node = heartbeat.node,
          .callers = heartbeat.caller_address,
          .ready = heartbeat.ready,
          .draining = heartbeat.draining,
          .config_version = heartbeat.config_version};
}

bool PeerDigest::IsFresh(const Source& source, TimePoint now) {
  return now - source.heard_at < kSourceLifetime;
}

void PeerDigest::OnHeartbeat(const std::string& source,
                             const PeerHeartbeat& heartbeat,
                             bool counts,
                             Duration own_uptime,
                             TimePoint now) {
  const bool is_node = heartbeat.scope == HeartbeatScope::kNode;
  // What a process did before this one started is not in this one's totals.
  const bool from_zero = is_node && heartbeat.uptime <= own_uptime;
  CumulativeTotals& totals = is_node ? node_totals_ : domain_totals_;
  totals.OnReport(source, heartbeat.incarnation, heartbeat.team_totals,
                  from_zero, counts);
  if (!counts || heartbeat.scope == HeartbeatScope::kDeployment) {
    return;
  }
  Source& known = sources_[source];
  std::vector<MemberState> members = std::move(known.last.members);
  known = {heartbeat, now};
  // Not every heartbeat lists the members.
  if (heartbeat.members.empty()) {
    known.last.members = std::move(members);
  }
}

void PeerDigest::AddSums(PeerHeartbeat& sum, const PeerHeartbeat& more) {
  for (const auto& [server, work] : more.outstanding_work) {
    sum.outstanding_work[server] += work;
  }
  for (const auto& [service, rate] : more.prefill_rates) {
    sum.prefill_rates[service] += rate;
  }
  MergeSpeeds(sum.server_speeds, more.server_speeds);
  sum.covered_nodes += more.covered_nodes;
}

PeerHeartbeat PeerDigest::OfDomain(const PeerHeartbeat& own,
                                   TimePoint now) const {
  PeerHeartbeat sum = own;
  sum.scope = HeartbeatScope::kDomain;
  AddTotals(sum.team_totals, node_totals_.SumWithout(own.node));
  for (const auto& [name, source] : sources_) {
    const bool is_member = source.last.scope == HeartbeatScope::kNode &&
                           source.last.failure_domain == own.failure_domain;
    if (is_member) {
      AddReports(sum.rollouts, source.last.rollouts, IsFresh(source, now));
    }
    if (is_member && IsFresh(source, now)) {
      AddSums(sum, source.last);
      sum.members.push_back(MemberOf(source.last));
    }
  }
  sum.members.push_back(MemberOf(own));
  return sum;
}

PeerHeartbeat PeerDigest::OfDeploymentWithout(const std::string& receiver,
                                              const PeerHeartbeat& own,
                                              TimePoint now) const {
  PeerHeartbeat sum = own;
  sum.scope = HeartbeatScope::kDeployment;
  sum.usage.clear();
  AddTotals(sum.team_totals, node_totals_.SumWithout(receiver));
  AddTotals(sum.team_totals, domain_totals_.SumWithout(receiver));
  for (const auto& [name, source] : sources_) {
    if (name != receiver) {
      AddReports(sum.rollouts, source.last.rollouts, IsFresh(source, now));
    }
    if (name != receiver && IsFresh(source, now)) {
      AddSums(sum, source.last);
    }
  }
  return sum;
}

std::vector<MemberState> PeerDigest::Members(const PeerHeartbeat& own,
                                             TimePoint now) const {
  std::vector<MemberState> members{MemberOf(own)};
  for (const auto& [name, source] : sources_) {
    if (!IsFresh(source, now)) {
      continue;
    }
    if (source.last.scope == HeartbeatScope::kNode) {
      members.push_back(MemberOf(source.last));
    } else {
      members.insert(members.end(), source.last.members.begin(),
                     source.last.members.end());
    }
  }
  return members;
}

}  // namespace qh
