#include "qh_gateway/control/peer_exchange.h"

#include <algorithm>
#include <exception>

namespace qh {
namespace {

using boost::asio::ip::udp;

// Heartbeat interval for each peer that heartbeats are sent to. It limits the
// heartbeats that a node sends and receives to 200 per second each.
constexpr Duration kIntervalPerPeer = std::chrono::milliseconds(5);
// Without a new report, a source's prefill rates count for this time.
constexpr Duration kPrefillRateLifetime = std::chrono::seconds(20);
// Sources of sums.
constexpr const char* kDomainSource = "domain:";
constexpr const char* kDeploymentSource = "deployment";

// Returns the name of the nodes that a heartbeat sums up.
std::string SourceOf(const PeerHeartbeat& heartbeat) {
  switch (heartbeat.scope) {
    case HeartbeatScope::kNode:
      return heartbeat.node;
    case HeartbeatScope::kDomain:
      return kDomainSource + heartbeat.failure_domain.value();
    case HeartbeatScope::kDeployment:
      return kDeploymentSource;
  }
  return heartbeat.node;
}

}  // namespace

PeerExchange::PeerExchange(boost::asio::io_context& io,
                           GatewayState& state,
                           LeaderTasks& leader_tasks,
                           std::string incarnation,
                           TimePoint started_at,
                           Hooks hooks)
    : state_(state),
      leader_tasks_(leader_tasks),
      incarnation_(std::move(incarnation)),
      started_at_(started_at),
      hooks_(std::move(hooks)),
      nodes_(state.settings.node.value(), state.settings.failure_domain),
      ranking_(state.settings.node.value(),
               state.settings.failure_domain,
               state.settings.link_mbps),
      socket_(io) {}

Result<void> PeerExchange::Open(const Address& address) {
  BOOST_OUTCOME_TRY(endpoint, ToEndpoint(address));
  boost::system::error_code error;
  socket_.open(udp::v4(), error);
  if (!error) {
    socket_.bind(udp::endpoint(endpoint.address(), endpoint.port()), error);
  }
  if (error) {
    return Error(ErrorKind::kInternal,
                 "can't bind the UDP socket for heartbeats at " +
                     address.ToString() + ": " + error.message());
  }
  return Ok();
}

void PeerExchange::Start() {
  Receive();
}

bool PeerExchange::has_relays() const {
  return state_.node_count() > kMaxNodesWithoutRelays;
}

bool PeerExchange::acts_as_relay(TimePoint now) const {
  return !has_relays() || ranking_.IsRelay(now);
}

std::optional<Duration> PeerExchange::FollowDelay(TimePoint now) const {
  return has_relays() ? ranking_.FollowDelay(now)
                      : std::optional(Duration::zero());
}

size_t PeerExchange::StoreFollowers() const {
  return has_relays() ? ranking_.OtherDomains().size() + 1
                      : state_.node_count();
}

Duration PeerExchange::heartbeat_interval() const {
  return std::max<Duration>(
      kMinHeartbeatInterval,
      kIntervalPerPeer * static_cast<int64_t>(direct_peers_));
}

void PeerExchange::OnListed(const std::string& node,
                            const Address& peers,
                            const FailureDomainId& domain,
                            double capacity,
                            TimePoint now) {
  if (!nodes_.AddressOf(node)) {
    size_.OnAdded(now);
  }
  nodes_.OnListed(node, peers, domain, now);
  ranking_.OnListed(node, domain, capacity, now);
}

void PeerExchange::OnTick(TimePoint now, bool follows_store) {
  ranking_.SetOwnState(leader_tasks_.is_leader(), follows_store);
  state_.peer_count = nodes_.KnownCount(now);
  const size_t unresponsive = nodes_.UnresponsiveCount(now);
  if (state_.recorded_nodes) {
    size_.SetRecorded(*state_.recorded_nodes);
  }
  size_.OnHeard(state_.peer_count - unresponsive, now);
  state_.peers_known = size_.is_known();
  // With relays a report waits for the interval of its sender and of two
  // relays.
  const Duration report_age =
      has_relays() ? 3 * heartbeat_interval() : heartbeat_interval();
  const size_t budget_peers = state_.budget_nodes() - 1;
  state_.team_rate_limiter.SetPeers(
      budget_peers, state_.peers_known ? unresponsive : budget_peers, now,
      report_age);
  // With relays most nodes are known by the relays' lists.
  nodes_.SetHeartbeatInterval(has_relays() ? kMemberListInterval
                                           : heartbeat_interval());
  ServerRateLimits& limits = state_.picker.rate_limits();
  if (limits.limited_servers() > 0) {
    UpdateLimitNodes(now);
  }
  if (now >= sent_at_ + heartbeat_interval() ||
      state_.crash_tracker.has_news() || limits.has_news()) {
    SendHeartbeats(now);
  }
}

void PeerExchange::UpdateLimitNodes(TimePoint now) {
  ServerRateLimits& limits = state_.picker.rate_limits();
  if (state_.peers_known) {
    limits.SetNodes(state_.settings.node.value(), nodes_.KnownNames(now));
  } else {
    limits.SetNodesUnknown();
  }
}

PeerHeartbeat PeerExchange::OwnHeartbeat(TimePoint now) {
  PeerHeartbeat heartbeat{
      .node = state_.settings.node.value(),
      .incarnation = incarnation_,
      .uptime = now - started_at_,
      .wall_time = WallNow(),
      .failure_domain = state_.settings.failure_domain,
      .relay = acts_as_relay(now),
      .leader = leader_tasks_.is_leader(),
      .draining = state_.draining_since.has_value(),
      .caller_address = state_.settings.caller_address,
      .config_version = state_.config == nullptr ? 0 : state_.config->version(),
      .store_epoch = state_.store_epoch.known(),
      .departures = state_.directory.departures().Recent(now),
      .pauses = state_.picker.pauses().Report(now),
      .rate_limits = state_.picker.rate_limits().TakeReport(now),
      .reported_window = leader_tasks_.reported_window(),
      .outstanding_work = state_.picker.load().own(),
      .team_totals = state_.team_rate_limiter.totals(),
      .usage = state_.usage.Recent(),
      .crashes = state_.crash_tracker.TakeReport(now),
      .prefill_rates = leader_tasks_.own_prefill_rates(),
      .server_speeds = state_.picker.speeds().Report(now),
      .rollouts = state_.rollouts.Report(now)};
  hooks_.describe_node(heartbeat);
  return heartbeat;
}

void PeerExchange::SendHeartbeats(TimePoint now) {
  sent_at_ = now;
  direct_peers_ = 0;
  const PeerHeartbeat own = OwnHeartbeat(now);
  if (!has_relays()) {
    for (const std::string& node : nodes_.Names()) {
      SendTo(node, own);
    }
    return;
  }
  for (const std::string& relay :
       ranking_.Relays(state_.settings.failure_domain, now)) {
    SendTo(relay, own);
  }
  if (own.relay) {
    SendAsRelay(own, now);
  }
}

void PeerExchange::SendAsRelay(const PeerHeartbeat& own, TimePoint now) {
  PeerHeartbeat domain = digest_.OfDomain(own, now);
  domain.usage = state_.usage.RecentOfDomain();
  for (const FailureDomainId& other : ranking_.OtherDomains()) {
    for (const std::string& relay : ranking_.Relays(other, now)) {
      SendTo(relay, domain);
    }
  }
  std::vector<MemberState> members;
  if (now >= members_sent_at_ + kMemberListInterval) {
    members_sent_at_ = now;
    members = digest_.Members(own, now);
  }
  const auto relays = ranking_.Relays(state_.settings.failure_domain, now);
  for (const std::string& peer : ranking_.DomainPeers(now)) {
    if (std::find(relays.begin(), relays.end(), peer) != relays.end()) {
      continue;
    }
    PeerHeartbeat sums = digest_.OfDeploymentWithout(peer, own, now);
    sums.members = members;
    SendTo(peer, std::move(sums));
  }
}

void PeerExchange::SendTo(const std::string& node, PeerHeartbeat heartbeat) {
  const auto address = nodes_.AddressOf(node);
  const auto endpoint = address ? ToEndpoint(*address)
                                : Result<boost::asio::ip::tcp::endpoint>(Error(
                                      ErrorKind::kInternal, "no address"));
  if (!endpoint) {
    return;
  }
  ++direct_peers_;
  heartbeat.sequence = ++sequence_;
  // Errors are ignored: a lost heartbeat is replaced by the next one.
  boost::system::error_code ignored;
  socket_.send_to(
      boost::asio::buffer(heartbeat.Encode()),
      udp::endpoint(endpoint.value().address(), endpoint.value().port()), 0,
      ignored);
}

void PeerExchange::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(receive_buffer_), sender_,
      [this](const boost::system::error_code& error, size_t size) {
        if (!socket_.is_open()) {
          return;
        }
        if (!error) {
          try {
            OnDatagram(size);
          } catch (const std::exception& unexpected) {
            // One message must not end the exchange with all peers.
            LogLine("unexpected_error")
                .With("from", sender_.address().to_string())
                .With("what", unexpected.what())
                .Warning();
          }
        }
        Receive();
      });
}

void PeerExchange::OnDatagram(size_t size) {
  const auto heartbeat = PeerHeartbeat::Decode({receive_buffer_.data(), size});
  if (heartbeat) {
    OnHeartbeat(heartbeat.value());
    return;
  }
  state_.log.Write(LogLine(ToName(GatewayEvent::kPeerHeartbeatRejected))
                       .With("from", sender_.address().to_string())
                       .With("bytes", size)
                       .With(heartbeat.error()),
                   GatewayEvent::kPeerHeartbeatRejected);
}

void PeerExchange::OnHeartbeat(const PeerHeartbeat& heartbeat) {
  const TimePoint now = MonotonicNow();
  uint64_t& last_sequence = last_sequences_[heartbeat.incarnation];
  if (heartbeat.node == state_.settings.node.value() ||
      heartbeat.sequence <= last_sequence) {
    return;
  }
  last_sequence = heartbeat.sequence;
  UpdateNodes(heartbeat, now);
  if (heartbeat.store_epoch) {
    state_.store_epoch.Observe(*heartbeat.store_epoch);
  }
  for (const ServerProcess& process : heartbeat.departures) {
    state_.directory.OnLeaving(process, now);
  }
  state_.picker.pauses().OnPeer(heartbeat.pauses, now);
  for (const ServerRateLimit& limit :
       state_.picker.rate_limits().OnPeer(heartbeat.rate_limits, now)) {
    state_.LogRateLimit(limit, heartbeat.node);
  }
  leader_tasks_.OnPeerReported(heartbeat.reported_window);
  state_.wall_clock.OnPeer(heartbeat.node, heartbeat.wall_time, now);
  state_.crash_tracker.OnPeer(heartbeat.crashes, has_relays(), now);
  ApplySums(heartbeat, now);
  hooks_.on_heartbeat(heartbeat);
}

void PeerExchange::UpdateNodes(const PeerHeartbeat& heartbeat, TimePoint now) {
  nodes_.OnHeartbeat(heartbeat.node,
                     {.callers = heartbeat.caller_address,
                      .ready = heartbeat.ready,
                      .draining = heartbeat.draining,
                      .follows_store = heartbeat.follows_store,
                      .config_version = heartbeat.config_version,
                      .servers = {.version = heartbeat.servers_version,
                                  .changed = heartbeat.servers_changed,
                                  .digest = heartbeat.servers_digest},
                      .nodes_changed = heartbeat.nodes_changed},
                     now);
  ranking_.OnAlive(heartbeat.node, now);
  if (heartbeat.relay) {
    ranking_.OnRelayHeard(heartbeat.node, heartbeat.follows_store,
                          heartbeat.leader, now);
  }
  for (const MemberState& member : heartbeat.members) {
    if (member.node == heartbeat.node) {
      continue;
    }
    nodes_.OnMember(member.node,
                    {.callers = member.callers,
                     .ready = member.ready,
                     .draining = member.draining,
                     .config_version = member.config_version},
                    now);
    ranking_.OnAlive(member.node, now);
  }
}

// Each unit of work must be counted once: a relay takes it from the nodes of
// its failure domain and from the other domains' relays, any other node from
// one of its relays.
bool PeerExchange::Counts(const PeerHeartbeat& heartbeat, TimePoint now) {
  const bool is_node = heartbeat.scope == HeartbeatScope::kNode;
  if (!has_relays()) {
    return is_node;
  }
  const bool own_domain =
      heartbeat.failure_domain == state_.settings.failure_domain;
  const bool for_relay = heartbeat.scope != HeartbeatScope::kDeployment;
  if (for_relay != acts_as_relay(now) || (is_node && !own_domain)) {
    return false;
  }
  return is_node || primaries_.Accept(SourceOf(heartbeat), heartbeat.node, now);
}

void PeerExchange::ApplySums(const PeerHeartbeat& heartbeat, TimePoint now) {
  const std::string source = SourceOf(heartbeat);
  const bool is_node = heartbeat.scope == HeartbeatScope::kNode;
  const bool own_domain =
      heartbeat.failure_domain == state_.settings.failure_domain;
  const bool counts = Counts(heartbeat, now);
  // The first totals of a relay may hold what another one has reported.
  state_.team_rate_limiter.OnPeer(
      {.incarnation =
           heartbeat.incarnation + "/" + std::string(ToName(heartbeat.scope)),
       .totals = heartbeat.team_totals,
       .uptime = is_node ? heartbeat.uptime : Duration::max(),
       .nodes = heartbeat.covered_nodes,
       .counts = counts},
      now);
  digest_.OnHeartbeat(source, heartbeat, counts, now - started_at_, now);
  if (!has_relays() || (is_node && own_domain)) {
    state_.usage.OnPeer(
        heartbeat.incarnation, heartbeat.usage,
        own_domain ? UsageScope::kOwnDomain : UsageScope::kOtherDomain);
  }
  if (heartbeat.scope == HeartbeatScope::kDomain && !own_domain) {
    state_.usage.OnPeer(source, heartbeat.usage, UsageScope::kOtherDomain);
  }
  state_.rollouts.OnPeer(counts ? source : std::string(),
                         heartbeat.scope == HeartbeatScope::kDeployment,
                         is_node ? heartbeat.incarnation : std::string(),
                         heartbeat.rollouts, now);
  if (!counts) {
    return;
  }
  state_.picker.load().OnPeer(source, heartbeat.outstanding_work, now);
  state_.waiting.ServeAllSoon();
  UpdatePrefillRates(source, heartbeat, now);
  const size_t invalid =
      state_.picker.speeds().OnPeer(source, heartbeat.server_speeds, now);
  if (invalid > 0 && invalid_speeds_logged_.insert(source).second) {
    state_.log.Write(LogLine(ToName(GatewayEvent::kPeerHeartbeatRejected))
                         .With("from", heartbeat.node)
                         .With("why", "invalid server speeds left out")
                         .With("speeds", invalid),
                     GatewayEvent::kPeerHeartbeatRejected);
  }
}

void PeerExchange::UpdatePrefillRates(const std::string& source,
                                      const PeerHeartbeat& heartbeat,
                                      TimePoint now) {
  // A relay's sum of all nodes and the sums that it is made of exclude each
  // other.
  std::erase_if(prefill_rates_, [&](const auto& item) {
    return (item.first == kDeploymentSource) != (source == kDeploymentSource);
  });
  prefill_rates_[source] = {heartbeat.prefill_rates, now};
  // Rates of nodes that are gone no longer count: their callers now send their
  // requests to the other nodes.
  std::erase_if(prefill_rates_, [&](const auto& item) {
    return now - item.second.heard_at > kPrefillRateLifetime;
  });
  std::map<std::string, double> total_rates;
  for (const auto& [name, rates] : prefill_rates_) {
    for (const auto& [service, rate] : rates.by_service) {
      total_rates[service] += rate;
    }
  }
  leader_tasks_.SetPeerPrefillRates(std::move(total_rates));
}

}  // namespace qh
