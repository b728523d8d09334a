// The part of GatewayNode that decides whether the node follows the store
// itself, and that fetches state from peers.

#include <algorithm>

#include "qh_gateway/control/gateway_node.h"

namespace qh {
namespace {

// Newer state is fetched from a peer only after the time in which it normally
// arrives: the watches' batch delay and the slack, but no less than the delay.
constexpr Duration kPeerFetchDelay = std::chrono::milliseconds(300);
constexpr Duration kPeerFetchSlack = std::chrono::milliseconds(150);
// Time between two calls to nodes of other failure domains for one kind of
// state. Short enough that within a bound several of them may fail.
constexpr Duration kElsewhereInterval = std::chrono::milliseconds(400);
// Nodes drawn at random for such a call; the fetcher avoids those that were of
// no use. Random, so that no node is asked by all.
constexpr size_t kElsewhereChoices = 3;
// A node waits this long for a relay before it follows the store itself.
constexpr Duration kRelayWait = RelayRanking::kSilentAfter;
// A node goes on following the store this long after it no longer has to, so
// that relays that come and go don't make it list everything anew.
constexpr Duration kFollowingHold = std::chrono::seconds(3);
// A watch is checked when its state was not confirmed for 1/kChecksPerBound of
// the bound. The rest of the bound is for the check itself, for the heartbeats
// that tell the other nodes, and for asking elsewhere if the check fails.
constexpr int64_t kChecksPerBound = 3;
// A node's turn begins a heartbeat's interval and this slack after the turn of
// the node before it. All nodes after kMaxCheckTurn share the last turn.
constexpr Duration kCheckTurnSlack = std::chrono::milliseconds(100);
constexpr size_t kMaxCheckTurn = 2;
constexpr int kNotFound = 404;

}  // namespace

bool GatewayNode::FollowsStore() const {
  return following_ && server_mirror_.version().revision > 0 &&
         !store_reachability_.is_unreachable();
}

bool GatewayNode::WritesRecord(TimePoint now) const {
  const bool is_first = peers_.nodes().FollowersBeforeSelf(now) == 0;
  return FollowsStore() && !state_.draining_since &&
         (is_first || state_.is_leader);
}

// The confirmation of one node serves all, so that the nodes that follow the
// store take turns: one checks first, the others only if they don't hear of it.
void GatewayNode::CheckOpenWatches() {
  if (!following_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const auto turn = static_cast<int64_t>(
      std::min(kMaxCheckTurn, peers_.nodes().FollowersBeforeSelf(now)));
  const Duration turn_length = peers_.heartbeat_interval() + kCheckTurnSlack;
  for (const auto& row : kEnumNames<StateKind>) {
    const auto age = state_.freshness.Age(row.value, BootNow());
    const Duration due = state_.freshness.Bound(row.value) / kChecksPerBound +
                         turn * turn_length;
    if (age && *age > due) {
      WatcherOf(row.value).Check();
    }
  }
}

StoreWatcher& GatewayNode::WatcherOf(StateKind kind) {
  return kind == StateKind::kConfig ? *config_watcher_ : *server_watcher_;
}

void GatewayNode::DescribeNode(PeerHeartbeat& heartbeat) const {
  const TimePoint now = MonotonicNow();
  heartbeat.ready = is_ready();
  heartbeat.follows_store = FollowsStore();
  const TimePoint boot_now = BootNow();
  heartbeat.config_confirmed =
      state_.freshness.Report(StateKind::kConfig, boot_now);
  heartbeat.servers_confirmed =
      state_.freshness.Report(StateKind::kServers, boot_now);
  const MirrorState servers = server_mirror_.state();
  heartbeat.servers_version = servers.version;
  heartbeat.servers_digest = servers.digest;
  heartbeat.servers_changed = servers.changed;
  heartbeat.nodes_changed = node_mirror_.state().changed;
  heartbeat.store_reachability = store_reachability_.Report(now);
}

void GatewayNode::OnHeartbeat(const PeerHeartbeat& heartbeat) {
  const TimePoint now = MonotonicNow();
  if (heartbeat.ready) {
    state_.rollouts.OnReadyPeer();
  }
  store_reachability_.OnPeer(heartbeat.node, heartbeat.store_reachability, now);
  ConfirmByPeer(heartbeat);
}

void GatewayNode::ConfirmByPeer(const PeerHeartbeat& heartbeat) {
  // What was confirmed before the store was restored no longer counts.
  if (heartbeat.store_epoch != state_.store_epoch.known()) {
    return;
  }
  const TimePoint now = BootNow();
  if (heartbeat.config_confirmed && state_.config != nullptr &&
      ConfigVersion() >= heartbeat.config_version) {
    state_.freshness.OnPeerReport(StateKind::kConfig,
                                  *heartbeat.config_confirmed, now);
  }
  const MirrorState servers{.version = heartbeat.servers_version,
                            .changed = heartbeat.servers_changed,
                            .digest = heartbeat.servers_digest};
  // A node that copies from relays compares its copy with the store's readers
  // alone: of two copies of copies nobody knows which one is wrong.
  if (following_ || heartbeat.follows_store) {
    server_copy_check_.OnPeer(heartbeat.node, servers, server_mirror_.state(),
                              MonotonicNow());
  }
  if (server_mirror_.version().revision == 0 ||
      server_mirror_.IsBehind(servers)) {
    return;
  }
  server_mirror_.ConfirmBy(servers);
  if (heartbeat.servers_confirmed) {
    state_.freshness.OnPeerReport(StateKind::kServers,
                                  *heartbeat.servers_confirmed, now);
  }
}

void GatewayNode::ReadDoubtfulServers(TimePoint now) {
  if (!server_copy_check_.TakeDue(following_, now)) {
    return;
  }
  const MirrorState servers = server_mirror_.state();
  state_.metrics.Count(
      {.name = "gateway_copies_in_doubt_total", .request_class = "servers"});
  state_.log.Write(LogLine(ToName(GatewayEvent::kCopyDoubted))
                       .With("kind", "servers")
                       .With("epoch", servers.version.epoch)
                       .With("revision", servers.version.revision)
                       .With("digest", *servers.digest)
                       .With("read_from", following_ ? "store" : "peers"),
                   GatewayEvent::kCopyDoubted);
  if (following_) {
    server_watcher_->ListAnew();
  } else {
    server_mirror_.Doubt();
  }
}

void GatewayNode::UpdateRole(TimePoint now) {
  if (!nodes_listed_at_) {
    return;
  }
  std::optional<Duration> delay = peers_.FollowDelay(now);
  if (!delay && peers_.HeardRelays(now).empty()) {
    delay = kRelayWait;
  }
  if (!delay) {
    follow_due_since_.reset();
    if (now - following_needed_at_ > kFollowingHold) {
      SetFollowing(false, now);
    }
    return;
  }
  following_needed_at_ = now;
  follow_due_since_ = follow_due_since_.value_or(now);
  if (now - *follow_due_since_ >= *delay) {
    SetFollowing(true, now);
  }
}

void GatewayNode::SetFollowing(bool following, TimePoint now) {
  if (std::exchange(following_, following) == following) {
    return;
  }
  state_.log.Write(LogLine(ToName(GatewayEvent::kRoleChanged))
                       .With("follows_store", following)
                       .With("relay", peers_.acts_as_relay(now))
                       .With("relays_heard", peers_.HeardRelays(now).size()),
                   GatewayEvent::kRoleChanged);
  for (StoreWatcher* watcher : Watchers()) {
    if (following) {
      watcher->Start();
    } else {
      watcher->Stop();
    }
  }
}

bool GatewayNode::IsNewer(PeerState state, const NodeState& peer) const {
  switch (state) {
    case PeerState::kConfig:
      return peer.config_version > ConfigVersion();
    case PeerState::kServers:
      // In doubt, a copy of the same version is taken only from a node that
      // reads the store: of two copied ones either may be wrong.
      return server_mirror_.IsBehind(peer.servers) &&
             (!server_mirror_.is_in_doubt() || peer.follows_store ||
              peer.servers.version > server_mirror_.version());
    case PeerState::kNodes:
      return peer.nodes_changed > node_mirror_.version();
  }
  return false;
}

std::vector<Address> GatewayNode::RelaysWithNewer(PeerState state,
                                                  TimePoint now) const {
  std::vector<Address> relays;
  for (const std::string& name : peers_.HeardRelays(now)) {
    const NodeState* relay = peers_.nodes().Find(name);
    const auto address = peers_.nodes().AddressOf(name);
    if (relay != nullptr && address && IsNewer(state, *relay)) {
      relays.push_back(*address);
    }
  }
  return relays;
}

void GatewayNode::FetchNewerState(TimePoint now) {
  for (const auto& row : kEnumNames<PeerState>) {
    FetchNewer(row.value, now);
  }
}

void GatewayNode::FetchNewer(PeerState state, TimePoint now) {
  if (fetcher_.IsFetching(state)) {
    return;
  }
  std::vector<Address> peers = PeersToAsk(state, now);
  const bool knows_newer = !peers.empty();
  // A relay whose heartbeats arrive may still not answer calls.
  std::erase_if(peers, [&](const Address& peer) {
    return fetcher_.HasFailed(peer, now);
  });
  if (!peers.empty()) {
    Fetch(state, peers,
          state == PeerState::kConfig ? std::string(ToName(state))
                                      : ListTarget(state, BaseOf(state)));
    return;
  }
  if (knows_newer || IsAged(state)) {
    FetchElsewhere(state, now);
  }
}

void GatewayNode::Fetch(PeerState state,
                        const std::vector<Address>& peers,
                        const std::string& target) {
  fetcher_.Fetch(state, peers, target,
                 [this, state, since = BaseOf(state)](const std::string& body) {
                   return OnPeerState(state, body, since);
                 });
}

void GatewayNode::FetchElsewhere(PeerState state, TimePoint now) {
  auto& asked_at = asked_elsewhere_at_.at(static_cast<size_t>(state));
  const std::vector<Address> peers = peers_.nodes().PeersElsewhere(now);
  if (peers.empty() || (asked_at && now - *asked_at < kElsewhereInterval)) {
    return;
  }
  asked_at = now;
  state_.metrics.Count({.name = "gateway_asked_elsewhere_total",
                        .request_class = std::string(ToName(state))});
  std::vector<Address> chosen;
  for (size_t i = 0; i < kElsewhereChoices; ++i) {
    chosen.push_back(peers.at(state_.rng.Below(peers.size())));
  }
  // The version goes along for the configuration too, so that a node with
  // nothing newer does not send all of it.
  Fetch(state, chosen, ListTarget(state, BaseOf(state)));
}

bool GatewayNode::IsAged(PeerState state) const {
  switch (state) {
    case PeerState::kConfig:
      return state_.freshness.IsAged(StateKind::kConfig, BootNow());
    case PeerState::kServers:
      return state_.freshness.IsAged(StateKind::kServers, BootNow());
    case PeerState::kNodes:
      break;
  }
  return false;
}

std::vector<Address> GatewayNode::PeersToAsk(PeerState state, TimePoint now) {
  // A node that does not follow the store gets all its state from the relays of
  // its failure domain.
  if (!following_) {
    std::vector<Address> relays = RelaysWithNewer(state, now);
    if (!relays.empty()) {
      return relays;
    }
  }
  return PeersWithNewer(state, now);
}

std::vector<Address> GatewayNode::PeersWithNewer(PeerState state,
                                                 TimePoint now) {
  std::vector<Address> peers = peers_.nodes().ResponsivePeers(
      [&](const NodeState& peer) { return IsNewer(state, peer); }, now);
  auto& behind_since = behind_since_.at(static_cast<size_t>(state));
  if (peers.empty()) {
    behind_since.reset();
    return {};
  }
  behind_since = behind_since.value_or(now);
  const Duration delay =
      std::max<Duration>(kPeerFetchDelay, WatchBatchDelay() + kPeerFetchSlack);
  return now - *behind_since >= delay ? peers : std::vector<Address>();
}

StoreVersion GatewayNode::BaseOf(PeerState state) const {
  switch (state) {
    case PeerState::kConfig:
      // Configurations are numbered by the operator, in no epoch.
      return {.epoch = 0, .revision = ConfigVersion()};
    case PeerState::kServers:
      return server_mirror_.base();
    case PeerState::kNodes:
      return node_mirror_.base();
  }
  return {};
}

uint64_t GatewayNode::ConfigVersion() const {
  return state_.config == nullptr ? 0 : state_.config->version();
}

bool GatewayNode::OnPeerState(PeerState state,
                              const std::string& body,
                              const StoreVersion& since) {
  if (state == PeerState::kConfig) {
    return OnPeerConfig(body);
  }
  auto update = StoreMirror::Decode(body, since);
  if (!update) {
    state_.log.Write(LogLine(ToName(GatewayEvent::kPeerChanged))
                         .With("passed_over", ToName(state))
                         .With(update.error()),
                     GatewayEvent::kPeerChanged);
    return false;
  }
  const UpdateOutcome outcome = state == PeerState::kServers
                                    ? OnServers(std::move(update.value()))
                                    : OnNodes(std::move(update.value()));
  return outcome != UpdateOutcome::kPassedOver;
}

bool GatewayNode::OnPeerConfig(const std::string& content) {
  if (content.empty()) {
    // The peer has nothing newer.
    return false;
  }
  const ServiceConfigPtr before = state_.config;
  OnConfigObject({.name = codec_.config_name, .content = content});
  return state_.config != before;
}

ServiceAnswer GatewayNode::AnswerPeer(const HttpHead& head) const {
  const auto config = ParseListTarget(PeerState::kConfig, head.target);
  if (config && !config_content_.empty()) {
    const bool is_newer = ConfigVersion() > config->revision;
    return {.body = is_newer ? config_content_ : std::string()};
  }
  const auto servers = ParseListTarget(PeerState::kServers, head.target);
  if (servers && server_mirror_.version().revision > 0) {
    return {.body = server_mirror_.EncodeSince(*servers)};
  }
  const auto nodes = ParseListTarget(PeerState::kNodes, head.target);
  if (nodes && node_mirror_.version().revision > 0) {
    return {.body = node_mirror_.EncodeSince(*nodes)};
  }
  return {.status = kNotFound};
}

}  // namespace qh
