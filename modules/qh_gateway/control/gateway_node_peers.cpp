// The part of GatewayNode that exchanges heartbeats and state with the other
// nodes.

#include "qh_gateway/control/gateway_node.h"

namespace qh {
namespace {

using boost::asio::ip::udp;

constexpr const char* kConfigPath = "/config";
constexpr const char* kServersPath = "/servers";

// Heartbeat interval per node of the deployment. It limits the heartbeats that
// one node receives to 125 per second however many nodes there are.
constexpr Duration kHeartbeatIntervalPerNode = std::chrono::milliseconds(8);
// Time that newer state may take to arrive from the store before it is fetched
// from a peer.
constexpr Duration kPeerFetchDelay = std::chrono::milliseconds(300);
constexpr Duration kPeerFetchTimeout = std::chrono::milliseconds(800);
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

Duration GatewayNode::HeartbeatInterval() const {
  return std::max<Duration>(
      kMinHeartbeatInterval,
      kHeartbeatIntervalPerNode * static_cast<int64_t>(state_.node_count()));
}

void GatewayNode::SendHeartbeat(TimePoint now) {
  heartbeat_sent_at_ = now;
  PeerHeartbeat heartbeat{
      .node = state_.settings.node.value(),
      .incarnation = incarnation_,
      .sequence = ++heartbeat_sequence_,
      .uptime = now - started_at_,
      .wall_time = WallNow(),
      .ready = is_ready(),
      .draining = state_.draining_since.has_value(),
      .caller_address = state_.settings.caller_address,
      .config_version = state_.config == nullptr ? 0 : state_.config->version(),
      .store_epoch = state_.store_epoch.known(),
      .servers_version = server_snapshot_.version(),
      .departures = state_.directory.departures().Recent(now),
      .pauses = state_.picker.pauses().Report(now),
      .reported_window = leader_tasks_.reported_window(),
      .store_reachability = store_reachability_.Report(now),
      .outstanding_work = state_.picker.load().own(),
      .team_totals = state_.team_rate_limiter.totals(),
      .usage = state_.usage.Recent(),
      .crash_records = state_.crash_tracker.Recent(now),
      .prefill_rates = leader_tasks_.own_prefill_rates()};
  const std::string bytes = heartbeat.Encode();
  for (const Address& peer : nodes_.Peers()) {
    const auto endpoint = ToEndpoint(peer);
    if (endpoint) {
      // Errors are ignored: a lost heartbeat is replaced by the next one.
      boost::system::error_code ignored;
      heartbeat_socket_.send_to(
          boost::asio::buffer(bytes),
          udp::endpoint(endpoint.value().address(), endpoint.value().port()), 0,
          ignored);
    }
  }
}

void GatewayNode::ReceiveHeartbeats() {
  heartbeat_socket_.async_receive_from(
      boost::asio::buffer(receive_buffer_), heartbeat_sender_,
      [this](const boost::system::error_code& error, size_t size) {
        if (!heartbeat_socket_.is_open()) {
          return;
        }
        if (!error) {
          const auto heartbeat =
              PeerHeartbeat::Decode({receive_buffer_.data(), size});
          if (heartbeat) {
            OnHeartbeat(heartbeat.value());
          } else {
            state_.log.Write(
                LogLine(ToName(GatewayEvent::kPeerHeartbeatRejected))
                    .With("from", heartbeat_sender_.address().to_string())
                    .With("bytes", size)
                    .With(heartbeat.error()),
                GatewayEvent::kPeerHeartbeatRejected);
          }
        }
        ReceiveHeartbeats();
      });
}

void GatewayNode::OnHeartbeat(const PeerHeartbeat& heartbeat) {
  const TimePoint now = MonotonicNow();
  uint64_t& last_sequence = last_sequences_[heartbeat.incarnation];
  if (heartbeat.node == state_.settings.node.value() ||
      heartbeat.sequence <= last_sequence) {
    return;
  }
  last_sequence = heartbeat.sequence;
  nodes_.OnHeartbeat(heartbeat.node,
                     {.incarnation = heartbeat.incarnation,
                      .callers = heartbeat.caller_address,
                      .ready = heartbeat.ready,
                      .draining = heartbeat.draining,
                      .config_version = heartbeat.config_version,
                      .servers_version = heartbeat.servers_version},
                     now);
  if (heartbeat.store_epoch) {
    state_.store_epoch.Observe(*heartbeat.store_epoch);
  }
  for (const ServerProcess& process : heartbeat.departures) {
    state_.directory.OnLeaving(process, now);
  }
  state_.picker.pauses().OnPeer(heartbeat.pauses, now);
  leader_tasks_.OnPeerReported(heartbeat.reported_window);
  store_reachability_.OnPeer(heartbeat.node, heartbeat.store_reachability, now);
  state_.wall_clock.OnPeer(heartbeat.node, heartbeat.wall_time, now);
  state_.picker.load().OnPeer(heartbeat.node, heartbeat.outstanding_work, now);
  state_.team_rate_limiter.OnPeer(heartbeat.incarnation, heartbeat.team_totals,
                                  heartbeat.uptime, now);
  state_.usage.OnPeer(heartbeat.incarnation, heartbeat.usage);
  for (const CrashRecord& record : heartbeat.crash_records) {
    state_.crash_tracker.OnCrash(record, now);
  }
  peer_prefill_rates_[heartbeat.node] = heartbeat.prefill_rates;
  // Rates of nodes that are gone no longer count: their callers now send their
  // requests to the other nodes.
  std::erase_if(peer_prefill_rates_, [&](const auto& item) {
    return !nodes_.IsKnown(item.first, now);
  });
  std::map<std::string, double> total_rates;
  for (const auto& [node, rates] : peer_prefill_rates_) {
    for (const auto& [service, rate] : rates) {
      total_rates[service] += rate;
    }
  }
  leader_tasks_.SetPeerPrefillRates(std::move(total_rates));
}

void GatewayNode::FetchNewerState(TimePoint now) {
  const uint64_t version =
      state_.config == nullptr ? 0 : state_.config->version();
  const auto config_peer = nodes_.PeerWithConfigAfter(version, now);
  const bool needs_servers =
      !state_.servers_confirmed_at || store_reachability_.is_unreachable();
  const auto server_peer = needs_servers ? nodes_.PeerWithServersAfter(
                                               server_snapshot_.version(), now)
                                         : std::nullopt;
  if (!config_peer && !server_peer) {
    behind_since_.reset();
    return;
  }
  behind_since_ = behind_since_.value_or(now);
  if (fetching_ || now - *behind_since_ < kPeerFetchDelay) {
    return;
  }
  if (config_peer) {
    FetchFromPeer(*config_peer, kConfigPath, [this](const std::string& body) {
      OnConfigObject({.name = codec_.config_name, .content = body});
    });
    return;
  }
  FetchFromPeer(*server_peer, kServersPath,
                [this](const std::string& body) { OnPeerServers(body); });
}

void GatewayNode::OnPeerServers(const std::string& encoded) {
  const auto page = server_snapshot_.ReadNewer(encoded);
  if (!page || !page.value()) {
    state_.log.Write(
        LogLine(ToName(GatewayEvent::kPeerChanged))
            .With("passed_over", kServersPath)
            .With("why", page ? "not newer" : page.error().detail())
            .With("servers_epoch", server_snapshot_.version().epoch)
            .With("servers_revision", server_snapshot_.version().revision),
        GatewayEvent::kPeerChanged);
    return;
  }
  OnServerList(page.value()->objects);
  server_snapshot_.OnConfirmed(page.value()->version);
}

void GatewayNode::FetchFromPeer(
    const Address& peer,
    const std::string& path,
    std::function<void(const std::string&)> on_body) {
  fetching_ = true;
  const auto client = HttpClient::Create(io_, peer);
  client->Send({.target = path}, kPeerFetchTimeout,
               [this, client, path, peer,
                on_body = std::move(on_body)](const CallReply& reply) {
                 fetching_ = false;
                 const bool fetched =
                     reply.outcome == HttpCallOutcome::kAnswered &&
                     reply.status == kOk;
                 state_.log.Write(LogLine(ToName(GatewayEvent::kPeerChanged))
                                      .With("peer", peer.ToString())
                                      .With("fetched", path)
                                      .With("outcome", fetched),
                                  GatewayEvent::kPeerChanged);
                 if (fetched) {
                   on_body(reply.body);
                 }
                 client->Stop();
               });
}

ServiceAnswer GatewayNode::AnswerPeer(const HttpHead& head) const {
  if (head.target == kConfigPath && !config_content_.empty()) {
    return {.body = config_content_};
  }
  if (head.target == kServersPath && server_snapshot_.version().revision > 0) {
    return {.body = server_snapshot_.Encode()};
  }
  return {.status = kNotFound};
}

}  // namespace qh
