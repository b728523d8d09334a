// The part of GatewayNode that follows the configuration, the servers and the
// nodes in the store, and registers this node there.

#include <nlohmann/json.hpp>

#include "qh_core/text/bounded_json.h"
#include "qh_gateway/control/gateway_node.h"

namespace qh {
namespace {

using Json = nlohmann::json;

// Bounds of the time that the store may hold a watch call open. It may be long:
// keep-alive probes and newer state at peers reveal an unresponsive connection
// before the call times out.
constexpr Duration kMinWatchWait = std::chrono::seconds(5);
constexpr Duration kMaxWatchWait = std::chrono::seconds(20);
// Share of the store's read rate that the watches of all nodes may use.
constexpr double kWatchReadShare = 0.25;
// Delay between two watch calls for each node of the deployment, with bounds.
constexpr Duration kBatchDelayPerNode = std::chrono::milliseconds(15);
constexpr Duration kMinBatchDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxBatchDelay = std::chrono::seconds(1);
// The delay is at most this part (1/4) of the time that a leaving server
// drains, so that nodes learn of the drain early, unless kMinBatchDelay is
// longer.
constexpr int64_t kBatchDelaysPerDrain = 4;
constexpr Duration kRegisterTimeout = std::chrono::seconds(1);
constexpr Duration kRegisterRetryDelay = std::chrono::milliseconds(500);
// Members of a node's registration: its address for heartbeats, its failure
// domain, and its capacity as RelayRanking compares it.
constexpr const char* kNodePeers = "peers";
constexpr const char* kNodeDomain = "domain";
constexpr const char* kNodeCapacity = "link_mbps";
constexpr int kConflict = 409;
constexpr int kFirstNonSuccess = 300;

}  // namespace

std::vector<StoreWatcher*> GatewayNode::Watchers() const {
  std::vector<StoreWatcher*> watchers;
  for (const auto* watcher : {&config_watcher_, &server_watcher_,
                              &node_watcher_, &rollout_watcher_}) {
    if (*watcher != nullptr) {
      watchers.push_back(watcher->get());
    }
  }
  return watchers;
}

std::unique_ptr<StoreWatcher> GatewayNode::MakeWatcher(
    const std::string& kind,
    StoreWatcher::Hooks hooks) {
  hooks.on_lost = [this, kind](const std::string& reason) {
    OnStoreLost(kind, reason);
  };
  hooks.on_regained = [this, kind] { OnStoreRegained(kind); };
  hooks.on_call = [this, kind](bool succeeded) {
    if (kind == codec_.rollout_kind) {
      // A store without this kind is no unreachable store.
      return;
    }
    if (succeeded) {
      store_reachability_.OnAnswer(MonotonicNow());
    } else {
      store_reachability_.OnFailure(MonotonicNow());
    }
  };
  hooks.watch_wait = [this] { return WatchWait(); };
  hooks.batch_delay = [this] { return WatchBatchDelay(); };
  return std::make_unique<StoreWatcher>(
      io_, state_.settings.store_address, codec_.store, state_.store_epoch,
      kind, state_.rng.Next(), std::move(hooks), state_.byte_budget);
}

// With more nodes each call waits longer, so that the calls of all nodes stay
// within their share of the store's read rate.
Duration GatewayNode::WatchWait() const {
  const double calls = static_cast<double>(Watchers().size()) *
                       static_cast<double>(peers_.StoreFollowers());
  const double seconds =
      calls / (kWatchReadShare * state_.settings.store_reads_per_second);
  // Relays are few and watch each other, so that an unresponsive connection of
  // one of them shows early.
  const Duration min_wait =
      peers_.has_relays() ? 2 * kMinWatchWait : kMinWatchWait;
  return std::clamp<Duration>(FromSeconds(seconds), min_wait, kMaxWatchWait);
}

// The store reports each change to every node. With more nodes a call collects
// changes for longer, but well below the time that a leaving server drains.
Duration GatewayNode::WatchBatchDelay() const {
  const Duration max_delay =
      std::max(kMinBatchDelay,
               std::min<Duration>(kMaxBatchDelay, state_.settings.server_drain /
                                                      kBatchDelaysPerDrain));
  if (peers_.has_relays()) {
    // Half of the time is left for the way from the relay to the other nodes.
    return max_delay / 2;
  }
  const Duration delay =
      kBatchDelayPerNode * static_cast<int64_t>(peers_.StoreFollowers());
  return std::clamp<Duration>(delay, kMinBatchDelay, max_delay);
}

void GatewayNode::OnStoreLost(const std::string& kind,
                              const std::string& reason) {
  state_.log.Write(LogLine(ToName(GatewayEvent::kDependencyLost))
                       .With("dependency", "store")
                       .With("watch", kind)
                       .With("why", reason),
                   GatewayEvent::kDependencyLost);
}

void GatewayNode::OnStoreRegained(const std::string& kind) {
  state_.log.Write(LogLine(ToName(GatewayEvent::kDependencyRegained))
                       .With("dependency", "store")
                       .With("watch", kind),
                   GatewayEvent::kDependencyRegained);
}

void GatewayNode::OnStoreConfirmed(StateKind kind, TimePoint sent_at) {
  state_.freshness.OnStoreAnswer(kind, sent_at, BootNow());
  UpdateReadiness();
}

void GatewayNode::OnConfigObject(const StoredObject& object) {
  if (object.name != codec_.config_name || object.removed) {
    return;
  }
  auto config = codec_.read_config(object.content);
  if (!config) {
    state_.log.Write(LogLine(ToName(GatewayEvent::kConfigRejected))
                         .With("revision", object.revision)
                         .With(config.error()),
                     GatewayEvent::kConfigRejected);
    return;
  }
  if (state_.ApplyConfig(std::move(config.value()), MonotonicNow())) {
    config_content_ = object.content;
  }
  UpdateReadiness();
}

std::optional<ServerRecord> GatewayNode::ReadServer(
    const StoredObject& object) {
  auto server = codec_.read_server(object);
  if (!server) {
    state_.log.Write(LogLine(ToName(GatewayEvent::kServerIgnored))
                         .With("server", object.name)
                         .With(server.error()),
                     GatewayEvent::kServerIgnored);
    return std::nullopt;
  }
  return std::move(server.value());
}

GatewayNode::ServersByName GatewayNode::ReadServers(StoreUpdate& update) {
  ServersByName servers;
  for (StoredObject& object : update.objects) {
    if (object.removed) {
      continue;
    }
    if (auto server = ReadServer(object)) {
      servers.insert_or_assign(object.name, std::move(*server));
    } else {
      object.removed = true;
    }
  }
  if (!update.since) {
    std::erase_if(update.objects, [](const auto& one) { return one.removed; });
  }
  return servers;
}

UpdateOutcome GatewayNode::OnServers(StoreUpdate update) {
  const ServersByName servers = ReadServers(update);
  const auto [outcome, taken] =
      TakeUpdate("servers", server_mirror_, *server_watcher_, update);
  if (!taken) {
    return outcome;
  }
  if (taken->since) {
    ApplyServerChanges(taken->objects, servers);
  } else {
    ApplyServerList(servers);
  }
  return outcome;
}

void GatewayNode::ApplyServerList(const ServersByName& servers) {
  std::vector<ServerRecord> all;
  for (const auto& [name, server] : servers) {
    all.push_back(server);
  }
  const TimePoint now = MonotonicNow();
  state_.directory.OnList(all, store_reachability_.KeepsMissingServers(now),
                          now);
  state_.servers_listed = true;
  UpdateReadiness();
}

void GatewayNode::ApplyServerChanges(const std::vector<StoredObject>& changes,
                                     const ServersByName& servers) {
  const TimePoint now = MonotonicNow();
  const bool keep_missing = store_reachability_.KeepsMissingServers(now);
  for (const StoredObject& change : changes) {
    if (change.removed) {
      state_.directory.OnRemoved(ServerId(change.name), keep_missing, now);
    } else {
      state_.directory.OnServer(servers.at(change.name), now);
    }
  }
}

UpdateOutcome GatewayNode::OnNodes(StoreUpdate update) {
  const auto [outcome, taken] =
      TakeUpdate("nodes", node_mirror_, *node_watcher_, update);
  if (!taken) {
    return outcome;
  }
  if (!taken->since) {
    OnNodeList(taken->objects);
    return outcome;
  }
  for (const StoredObject& change : taken->objects) {
    verdict_archive_.OnChange(change);
    if (!change.removed) {
      AddNode(change);
    }
  }
  return outcome;
}

GatewayNode::TakenUpdate GatewayNode::TakeUpdate(const char* kind,
                                                 StoreMirror& mirror,
                                                 StoreWatcher& watcher,
                                                 const StoreUpdate& update) {
  const StoreVersion known = mirror.version();
  const bool was_in_doubt = mirror.is_in_doubt();
  TakenUpdate result{.taken = mirror.Take(update)};
  if (result.taken) {
    result.outcome = UpdateOutcome::kTaken;
  } else if (mirror.is_in_doubt() && !was_in_doubt) {
    result.outcome = UpdateOutcome::kContradicted;
  }
  LogUpdate(kind, update, result.outcome, known);
  if (result.outcome == UpdateOutcome::kContradicted) {
    state_.metrics.Count(
        {.name = "gateway_copies_in_doubt_total", .request_class = kind});
    if (following_) {
      // Otherwise the next call to a peer asks for all objects.
      watcher.ListAnew();
    }
  }
  return result;
}

void GatewayNode::LogUpdate(const char* kind,
                            const StoreUpdate& update,
                            UpdateOutcome outcome,
                            const StoreVersion& known) {
  const bool is_list = !update.since;
  const bool taken = outcome == UpdateOutcome::kTaken;
  // The watch often reports what peers have told before, or that nothing has
  // changed.
  const bool of_watch = update.source == UpdateSource::kStore && !is_list;
  if (of_watch && (!taken || update.objects.empty())) {
    return;
  }
  if (!taken) {
    state_.metrics.Count({.name = "gateway_updates_passed_over_total",
                          .request_class = kind,
                          .reason = std::string(ToName(update.source))});
  }
  const GatewayEvent event =
      is_list ? GatewayEvent::kStateListed : GatewayEvent::kStateChanged;
  state_.log.Write(LogLine(ToName(event))
                       .With("kind", kind)
                       .With("from", ToName(update.source))
                       .With("outcome", ToName(outcome))
                       .With("objects", update.objects.size())
                       .With("epoch", update.version.epoch)
                       .With("revision", update.version.revision)
                       .With("known_epoch", known.epoch)
                       .With("known_revision", known.revision),
                   event);
}

void GatewayNode::OnNodeList(const std::vector<StoredObject>& objects) {
  nodes_listed_at_ = nodes_listed_at_.value_or(MonotonicNow());
  verdict_archive_.OnList(objects);
  bool listed = false;
  for (const StoredObject& object : objects) {
    AddNode(object);
    listed = listed || IsOwnRegistration(object);
  }
  if (registered_ && !listed) {
    registered_ = false;
    RegisterNode();
  }
}

void GatewayNode::OnStoreEpoch(uint64_t epoch, bool restored) {
  leader_tasks_.OnStoreEpoch(epoch, restored);
  if (!restored) {
    return;
  }
  const TimePoint now = MonotonicNow();
  state_.log.Write(
      LogLine(ToName(GatewayEvent::kStoreRestored))
          .With("epoch", epoch)
          .With("servers_revision", server_mirror_.version().revision)
          .With("config",
                state_.config == nullptr ? 0 : state_.config->version()),
      GatewayEvent::kStoreRestored);
  store_reachability_.OnRestored(now);
  state_.directory.OnStoreRestored(now);
  // From now on no list of an earlier epoch is accepted from a peer.
  server_mirror_.Discard(epoch);
  node_mirror_.Discard(epoch);
  for (StoreWatcher* watcher : Watchers()) {
    watcher->ListAnew();
  }
  if (!registered_) {
    register_connection_.Reset();
    RegisterNode();
  }
}

bool GatewayNode::IsOwnRegistration(const StoredObject& object) const {
  if (object.name != state_.settings.node.value()) {
    return false;
  }
  const Json json = ParseBoundedJson(object.content);
  return json.is_object() && json.contains(kNodePeers) &&
         json[kNodePeers] == state_.settings.peer_address.ToString();
}

void GatewayNode::AddNode(const StoredObject& object) {
  const Json json = ParseBoundedJson(object.content);
  if (!json.is_object() || !json.contains(kNodePeers) ||
      !json[kNodePeers].is_string()) {
    return;
  }
  const auto address = ParseAddress(json[kNodePeers].get<std::string>());
  if (!address) {
    return;
  }
  // Nodes of an earlier version don't register the last two.
  const Json domain = json.value(kNodeDomain, Json());
  const Json capacity = json.value(kNodeCapacity, Json());
  peers_.OnListed(
      object.name, address.value(),
      FailureDomainId(domain.is_string() ? domain.get<std::string>() : ""),
      capacity.is_number() ? capacity.get<double>() : 0, MonotonicNow());
}

void GatewayNode::RegisterNode() {
  const StoredObject object{
      .name = state_.settings.node.value(),
      .content = Json{{kNodePeers, state_.settings.peer_address.ToString()},
                      {kNodeDomain, state_.settings.failure_domain.value()},
                      {kNodeCapacity, state_.settings.link_mbps}}
                     .dump()};
  register_connection_.Send(
      codec_.store.create(kGatewayNodeKind, object), kRegisterTimeout,
      [this, object](const CallReply& created) {
        const bool answered = created.outcome == HttpCallOutcome::kAnswered;
        if (answered && created.status < kFirstNonSuccess) {
          registered_ = true;
          return;
        }
        if (!answered || created.status != kConflict) {
          register_timer_.expires_after(kRegisterRetryDelay);
          register_timer_.async_wait(
              [this](const boost::system::error_code& error) {
                if (!error) {
                  RegisterNode();
                }
              });
          return;
        }
        // An earlier process of this node registered, maybe with another
        // address.
        register_connection_.Send(
            codec_.store.replace(kGatewayNodeKind, object), kRegisterTimeout,
            [this](const CallReply& replaced) {
              registered_ = replaced.outcome == HttpCallOutcome::kAnswered &&
                            replaced.status < kFirstNonSuccess;
              if (!registered_) {
                RegisterNode();
              }
            });
      });
}

}  // namespace qh
