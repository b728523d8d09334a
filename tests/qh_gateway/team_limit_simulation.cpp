#include "qh_gateway/team_limit_simulation.h"

#include <algorithm>

namespace qh::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const TeamId kTeam("t");
constexpr Duration kStep = milliseconds(5);
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kMinInterval = milliseconds(150);
constexpr Duration kIntervalPerPeer = milliseconds(5);
constexpr Duration kMemberListInterval = milliseconds(500);
constexpr size_t kDomains = 4;
constexpr Duration kRestartTime = milliseconds(1'500);
// A process gets its configuration, and later its callers, this long after its
// start.
constexpr Duration kConfigured = milliseconds(300);
constexpr Duration kReady = milliseconds(1'200);
constexpr double kSmallestShare = 0.1;

}  // namespace

Duration TeamLimitSimulation::Process::interval() const {
  return std::max<Duration>(
      kMinInterval, kIntervalPerPeer * static_cast<int64_t>(direct_peers));
}

TeamLimitSimulation::TeamLimitSimulation(size_t nodes,
                                         const TeamLoad& load,
                                         const DeploymentFaults& faults,
                                         uint64_t seed)
    : load_(load),
      faults_(faults),
      rng_(seed),
      now_(kStart),
      first_request_(kStart + load.first_request),
      processes_(nodes) {
  for (size_t i = 0; i < nodes; ++i) {
    by_name_["n" + std::to_string(i)] = i;
    const bool late = i + faults.late_nodes >= nodes;
    starts_.emplace_back(late ? first_request_ + rng_.Between(kStep, seconds(6))
                              : kStart + rng_.Between(kStep, milliseconds(500)),
                         i);
  }
  for (size_t i = 0; i < faults.restarts; ++i) {
    const TimePoint at = first_request_ + rng_.Between(kStep, seconds(8));
    const size_t node = rng_.Below(nodes - faults.late_nodes);
    ends_.emplace_back(at, node);
    starts_.emplace_back(at + kRestartTime, node);
  }
}

void TeamLimitSimulation::StartProcess(size_t node) {
  const std::string name = "n" + std::to_string(node);
  const FailureDomainId domain("d" + std::to_string(node % kDomains));
  processes_[node].reset(new Process{
      .name = name,
      .domain = domain,
      .incarnation = name + "#" + std::to_string(next_incarnation_++),
      .started = now_,
      .tick_phase = kStep * static_cast<int64_t>(rng_.Below(10)),
      .limiter = TeamRateLimiter(
          {.window = kWindow, .share = 0.1, .units = kTolerance}, now_),
      .table = NodeTable(name, domain),
      .ranking = RelayRanking(name, domain, 1),
      .sent_at = now_ - rng_.Between(Duration(0), kMinInterval)});
  Process& started = *processes_[node];
  const auto list = [&](Process& at, const Process& listed) {
    if (!at.table.AddressOf(listed.name)) {
      at.size.OnAdded(now_);
    }
    at.table.OnListed(listed.name, {listed.name, 1}, listed.domain, now_);
    at.ranking.OnListed(listed.name, listed.domain, 1, now_);
  };
  for (const auto& other : processes_) {
    if (other != nullptr && other.get() != &started) {
      list(*other, started);
      list(started, *other);
    }
  }
}

void TeamLimitSimulation::Run(Duration length) {
  const TimePoint end = first_request_ + length;
  for (; now_ < end; now_ += kStep) {
    const auto is_due = [&](const auto& item) {
      return item.first >= now_ && item.first < now_ + kStep;
    };
    for (const auto& item : ends_) {
      if (is_due(item)) {
        processes_[item.second].reset();
      }
    }
    for (const auto& item : starts_) {
      if (is_due(item)) {
        StartProcess(item.second);
      }
    }
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const auto [to, heartbeat] = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      if (processes_[to] != nullptr) {
        OnHeartbeat(*processes_[to], heartbeat);
      }
    }
    for (const auto& process : processes_) {
      if (process != nullptr &&
          (now_.time_since_epoch() + process->tick_phase) % kTickInterval ==
              Duration::zero()) {
        Tick(*process);
      }
    }
    while (!refunds_.empty() && refunds_.begin()->first <= now_) {
      const Refund refund = refunds_.begin()->second;
      refunds_.erase(refunds_.begin());
      Process* const process = processes_[refund.node].get();
      if (process != nullptr && process->incarnation == refund.incarnation) {
        process->limiter.Refund(kTeam, refund.units, refund.admitted, now_);
      }
    }
    if (now_ >= first_request_) {
      OfferRequests();
    }
  }
}

void TeamLimitSimulation::Tick(Process& process) {
  if (!process.configured && now_ - process.started >= kConfigured) {
    process.configured = true;
    process.limiter.SetTeams(
        {{.id = kTeam, .rate = load_.rate, .burst = load_.burst}}, now_);
  }
  process.peer_count = process.table.KnownCount(now_);
  const size_t unresponsive = process.table.UnresponsiveCount(now_);
  process.size.OnHeard(process.peer_count - unresponsive, now_);
  process.peers_known = process.size.is_known();
  const Duration report_age =
      process.has_relays() ? 3 * process.interval() : process.interval();
  const size_t budget_peers = process.peers_known
                                  ? process.peer_count
                                  : DeploymentSize::kAssumedNodes - 1;
  process.limiter.SetPeers(budget_peers,
                           process.peers_known ? unresponsive : budget_peers,
                           now_, report_age);
  process.table.SetHeartbeatInterval(process.has_relays() ? kMemberListInterval
                                                          : process.interval());
  if (now_ >= process.sent_at + process.interval()) {
    SendHeartbeats(process);
  }
}

void TeamLimitSimulation::SendHeartbeats(Process& process) {
  process.sent_at = now_;
  process.direct_peers = 0;
  const PeerHeartbeat own{.node = process.name,
                          .incarnation = process.incarnation,
                          .uptime = now_ - process.started,
                          .failure_domain = process.domain,
                          .relay = process.is_relay(now_),
                          .follows_store = true,
                          .ready = true,
                          .team_totals = process.limiter.totals()};
  if (!process.has_relays()) {
    for (const std::string& node : process.table.Names()) {
      SendTo(process, node, own);
    }
    return;
  }
  const auto relays = process.ranking.Relays(process.domain, now_);
  for (const std::string& relay : relays) {
    SendTo(process, relay, own);
  }
  if (!own.relay) {
    return;
  }
  const PeerHeartbeat domain = process.digest.OfDomain(own, now_);
  for (const FailureDomainId& other : process.ranking.OtherDomains()) {
    for (const std::string& relay : process.ranking.Relays(other, now_)) {
      SendTo(process, relay, domain);
    }
  }
  std::vector<MemberState> members;
  if (now_ >= process.members_sent_at + kMemberListInterval) {
    process.members_sent_at = now_;
    members = process.digest.Members(own, now_);
  }
  for (const std::string& peer : process.ranking.DomainPeers(now_)) {
    if (std::find(relays.begin(), relays.end(), peer) == relays.end()) {
      PeerHeartbeat sums = process.digest.OfDeploymentWithout(peer, own, now_);
      sums.members = members;
      SendTo(process, peer, std::move(sums));
    }
  }
}

void TeamLimitSimulation::SendTo(Process& from,
                                 const std::string& to,
                                 PeerHeartbeat heartbeat) {
  if (to == from.name) {
    return;
  }
  ++from.direct_peers;
  heartbeat.sequence = ++from.sequence;
  const size_t copies = rng_.Chance(faults_.loss)         ? 0
                        : rng_.Chance(faults_.duplicates) ? 2
                                                          : 1;
  for (size_t i = 0; i < copies; ++i) {
    Duration delay =
        milliseconds(1) +
        FromSeconds(rng_.Exponential(ToSeconds(faults_.mean_delay)));
    if (rng_.Chance(faults_.late)) {
      delay += rng_.Between(Duration(0), milliseconds(300));
    }
    in_flight_.emplace(now_ + delay, std::pair(by_name_.at(to), heartbeat));
  }
}

bool TeamLimitSimulation::Counts(Process& process,
                                 const PeerHeartbeat& heartbeat) {
  const bool is_node = heartbeat.scope == HeartbeatScope::kNode;
  if (!process.has_relays()) {
    return is_node;
  }
  const bool own_domain = heartbeat.failure_domain == process.domain;
  const bool for_relay = heartbeat.scope != HeartbeatScope::kDeployment;
  if (for_relay != process.is_relay(now_) || (is_node && !own_domain)) {
    return false;
  }
  const std::string source = heartbeat.scope == HeartbeatScope::kDomain
                                 ? heartbeat.failure_domain.value()
                                 : "deployment";
  return is_node || process.primaries.Accept(source, heartbeat.node, now_);
}

void TeamLimitSimulation::OnHeartbeat(Process& process,
                                      const PeerHeartbeat& heartbeat) {
  uint64_t& last = process.last_sequences[heartbeat.incarnation];
  if (heartbeat.node == process.name || heartbeat.sequence <= last) {
    return;
  }
  last = heartbeat.sequence;
  process.table.OnHeartbeat(heartbeat.node, {.ready = true}, now_);
  process.ranking.OnAlive(heartbeat.node, now_);
  if (heartbeat.relay) {
    process.ranking.OnRelayHeard(heartbeat.node, true, false, now_);
  }
  for (const MemberState& member : heartbeat.members) {
    if (member.node != heartbeat.node) {
      process.table.OnMember(member.node, {.ready = true}, now_);
      process.ranking.OnAlive(member.node, now_);
    }
  }
  const bool is_node = heartbeat.scope == HeartbeatScope::kNode;
  const std::string source = is_node ? heartbeat.node
                             : heartbeat.scope == HeartbeatScope::kDomain
                                 ? "domain:" + heartbeat.failure_domain.value()
                                 : "deployment";
  const bool counts = Counts(process, heartbeat);
  process.limiter.OnPeer(
      {.incarnation =
           heartbeat.incarnation + "/" + std::string(ToName(heartbeat.scope)),
       .totals = heartbeat.team_totals,
       .uptime = is_node ? heartbeat.uptime : Duration::max(),
       .nodes = heartbeat.covered_nodes,
       .counts = counts},
      now_);
  process.digest.OnHeartbeat(source, heartbeat, counts, now_ - process.started,
                             now_);
}

double TeamLimitSimulation::MeanUnits() const {
  const double mid = (1 + kSmallestShare) / 2;
  return load_.large_share * load_.max_units * mid +
         (1 - load_.large_share) * load_.max_small_units * mid;
}

RequestCounts& TeamLimitSimulation::CountsOf(const Request& request) {
  return request.large ? large_ : request.priority == 0 ? urgent_ : small_;
}

void TeamLimitSimulation::OfferRequests() {
  while (!retries_.empty() && retries_.begin()->first <= now_) {
    const Request request = retries_.begin()->second;
    retries_.erase(retries_.begin());
    Send(request);
  }
  const Duration since = now_ - first_request_;
  const bool flood =
      since >= load_.flood_start && since < load_.flood_start + kFloodLength;
  const double per_second = load_.usual_share * load_.rate / MeanUnits() *
                            (flood ? load_.flood_factor : 1.0);
  owed_requests_ += per_second * ToSeconds(kStep);
  // The gaps between requests are exponentially distributed.
  while (owed_requests_ > 0) {
    owed_requests_ -= rng_.Exponential(1);
    Request request{.large = rng_.Chance(load_.large_share)};
    const double most = request.large ? load_.max_units : load_.max_small_units;
    request.units =
        most * (kSmallestShare + (1 - kSmallestShare) * rng_.Uniform());
    const bool urgent = !request.large && rng_.Chance(load_.urgent_share);
    request.priority = urgent ? 0 : 2;
    request.deadline = now_ + rng_.Between(seconds(2), seconds(12));
    RequestCounts& counts = CountsOf(request);
    ++counts.offered;
    counts.offered_units += request.units;
    Send(request);
  }
}

void TeamLimitSimulation::Send(Request request) {
  std::vector<size_t> ready;
  for (size_t i = 0; i < processes_.size(); ++i) {
    if (processes_[i] != nullptr && now_ - processes_[i]->started >= kReady) {
      ready.push_back(i);
    }
  }
  if (ready.empty()) {
    return;
  }
  const size_t node = ready[rng_.Below(ready.size())];
  Process& process = *processes_[node];
  RequestCounts& counts = CountsOf(request);
  const auto wait =
      process.limiter.Admit(kTeam,
                            {.units = request.units,
                             .priority = request.priority,
                             .time_left = request.deadline - now_},
                            now_);
  if (!wait) {
    if (rng_.Chance(load_.refund_share)) {
      refunds_.emplace(now_ + rng_.Between(milliseconds(5), seconds(2)),
                       Refund{node, process.incarnation, request.units, now_});
      counts.served_units += request.units;
      ++counts.served;
      return;
    }
    admitted_.emplace_back(now_, request.units);
    counts.served_units += request.units;
    ++counts.served;
    return;
  }
  ++counts.refusals;
  if (!request.is_retry && *wait <= (request.deadline - now_) / 3) {
    request.is_retry = true;
    retries_.emplace(now_ + std::max<Duration>(*wait, kStep), request);
  }
}

double TeamLimitSimulation::MaxAdmitted() const {
  double most = 0;
  double sum = 0;
  size_t first = 0;
  for (const auto& [at, units] : admitted_) {
    sum += units;
    while (admitted_[first].first + kWindow < at) {
      sum -= admitted_[first].second;
      ++first;
    }
    most = std::max(most, sum);
  }
  return most;
}

double TeamLimitSimulation::ServedBetween(Duration from, Duration to) const {
  double sum = 0;
  for (const auto& [at, units] : admitted_) {
    if (at >= first_request_ + from && at < first_request_ + to) {
      sum += units;
    }
  }
  return sum;
}

RequestCounts TeamLimitSimulation::all() const {
  RequestCounts sum = small_;
  for (const RequestCounts* more : {&urgent_, &large_}) {
    sum.offered_units += more->offered_units;
    sum.served_units += more->served_units;
    sum.offered += more->offered;
    sum.served += more->served;
    sum.refusals += more->refusals;
  }
  return sum;
}

}  // namespace qh::test
