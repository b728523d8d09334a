// The part of GatewayNode that talks to the other nodes.

#include "qh_gateway/control/gateway_node.h"

namespace qh {
namespace {

using boost::asio::ip::udp;

constexpr const char* kConfigPath = "/config";
constexpr const char* kServersPath = "/servers";

// Messages that a node takes in a second bound how often each of many tells.
constexpr Duration kNewsPerPeer = std::chrono::milliseconds(8);
// A newer state at a peer is waited for this long before it is fetched.
constexpr Duration kBehindLimit = std::chrono::milliseconds(300);
constexpr Duration kFetchLimit = std::chrono::milliseconds(800);
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

Duration GatewayNode::NewsInterval() const {
  return std::max<Duration>(
      kNewsInterval, kNewsPerPeer * static_cast<int64_t>(state_.node_count()));
}

void GatewayNode::SendNews(TimePoint now) {
  news_sent_ = now;
  PeerHeartbeat news{
      .node = state_.settings.node.value(),
      .incarnation = incarnation_,
      .sequence = ++news_sequence_,
      .uptime = now - started_,
      .wall = WallNow(),
      .ready = is_ready(),
      .draining = state_.draining_since.has_value(),
      .callers = state_.settings.caller_address,
      .config_version = state_.config == nullptr ? 0 : state_.config->version(),
      .servers_revision = servers_.revision(),
      .store = contact_.Report(now),
      .open_work = state_.picker.load().own(),
      .team_totals = state_.team_budget.totals(),
      .usage = state_.usage.Recent(),
      .crash_marks = state_.crash_tracker.Recent(now),
      .reading = leader_tasks_.own_reading()};
  const std::string bytes = news.Encode();
  for (const Address& peer : nodes_.Peers()) {
    const auto endpoint = ToEndpoint(peer);
    if (endpoint) {
      boost::system::error_code lost;  // The next message makes it good.
      news_.send_to(
          boost::asio::buffer(bytes),
          udp::endpoint(endpoint.value().address(), endpoint.value().port()), 0,
          lost);
    }
  }
}

void GatewayNode::ReceiveNews() {
  news_.async_receive_from(
      boost::asio::buffer(news_in_), news_from_,
      [this](const boost::system::error_code& error, size_t size) {
        if (!news_.is_open()) {
          return;
        }
        if (!error) {
          const auto news = PeerHeartbeat::Decode({news_in_.data(), size});
          if (news) {
            OnNews(news.value());
          } else {
            state_.log.Write(
                LogLine(ToName(GatewayEvent::kPeerHeartbeatRejected))
                    .With("from", news_from_.address().to_string())
                    .With("bytes", size)
                    .With(news.error()),
                GatewayEvent::kPeerHeartbeatRejected);
          }
        }
        ReceiveNews();
      });
}

void GatewayNode::OnNews(const PeerHeartbeat& news) {
  const TimePoint now = MonotonicNow();
  uint64_t& last = peer_sequence_[news.incarnation];
  if (news.node == state_.settings.node.value() || news.sequence <= last) {
    return;
  }
  last = news.sequence;
  nodes_.OnHeartbeat(news.node,
                     {.incarnation = news.incarnation,
                      .callers = news.callers,
                      .ready = news.ready,
                      .draining = news.draining,
                      .config_version = news.config_version,
                      .servers_revision = news.servers_revision},
                     now);
  contact_.OnPeer(news.node, news.store, now);
  state_.wall_clock.OnPeer(news.node, news.wall, now);
  state_.picker.load().OnPeer(news.node, news.open_work, now);
  state_.team_budget.OnPeer(news.incarnation, news.team_totals, news.uptime,
                            now);
  state_.usage.OnPeer(news.incarnation, news.usage);
  for (const CrashRecord& mark : news.crash_marks) {
    state_.crash_tracker.OnCrash(mark, now);
  }
  peer_reading_[news.node] = news.reading;
  // What a gone node's callers asked for comes to the others now.
  std::erase_if(peer_reading_, [&](const auto& item) {
    return !nodes_.IsKnown(item.first, now);
  });
  std::map<std::string, double> sum;
  for (const auto& [node, reading] : peer_reading_) {
    for (const auto& [service, rate] : reading) {
      sum[service] += rate;
    }
  }
  leader_tasks_.SetPeerReading(std::move(sum));
}

// A node that the store does not serve takes from a peer what that one knows.
void GatewayNode::FetchFromPeers(TimePoint now) {
  const uint64_t version =
      state_.config == nullptr ? 0 : state_.config->version();
  const auto config_peer = nodes_.PeerWithConfigAfter(version, now);
  const bool blind = !state_.servers_confirmed_at || contact_.is_unreachable();
  const auto server_peer =
      blind ? nodes_.PeerWithServersAfter(servers_.revision(), now)
            : std::nullopt;
  if (!config_peer && !server_peer) {
    behind_since_.reset();
    return;
  }
  behind_since_ = behind_since_.value_or(now);
  if (fetching_ || now - *behind_since_ < kBehindLimit) {
    return;
  }
  if (config_peer) {
    Fetch(*config_peer, kConfigPath, [this](const std::string& body) {
      OnConfigObject({.name = codec_.config_name, .content = body});
    });
    return;
  }
  Fetch(*server_peer, kServersPath,
        [this](const std::string& body) { OnPeerServers(body); });
}

void GatewayNode::OnPeerServers(const std::string& encoded) {
  const auto page = servers_.ReadNewer(encoded);
  if (!page || !page.value()) {
    state_.log.Write(
        LogLine(ToName(GatewayEvent::kPeerChanged))
            .With("passed_over", kServersPath)
            .With("why", page ? "not newer" : page.error().detail())
            .With("servers_revision", servers_.revision()),
        GatewayEvent::kPeerChanged);
    return;
  }
  OnServerList(page.value()->objects);
  servers_.OnConfirmed(page.value()->revision);
}

void GatewayNode::Fetch(const Address& peer,
                        const std::string& what,
                        std::function<void(const std::string&)> on_body) {
  fetching_ = true;
  const auto client = HttpClient::Create(io_, peer);
  client->Send({.target = what}, kFetchLimit,
               [this, client, what, peer,
                on_body = std::move(on_body)](const CallReply& reply) {
                 fetching_ = false;
                 const bool fetched =
                     reply.outcome == HttpCallOutcome::kAnswered &&
                     reply.status == kOk;
                 state_.log.Write(LogLine(ToName(GatewayEvent::kPeerChanged))
                                      .With("peer", peer.ToString())
                                      .With("fetched", what)
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
  if (head.target == kServersPath && servers_.revision() > 0) {
    return {.body = servers_.Encode()};
  }
  return {.status = kNotFound};
}

}  // namespace qh
