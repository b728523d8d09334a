// The part of GatewayNode that keeps the store's objects known.

#include <nlohmann/json.hpp>

#include "qh_gateway/control/gateway_node.h"

namespace qh {
namespace {

using Json = nlohmann::json;

// A connection that has gone silent shows by keep-alive probes, and by what
// peers know, before the wait is over.
constexpr Duration kLeastWatchWait = std::chrono::seconds(5);
constexpr Duration kMostWatchWait = std::chrono::seconds(20);
// Part of the store's read rate that all nodes' watches may use.
constexpr double kWatchShare = 0.25;
constexpr double kWatchesPerNode = 3;
constexpr Duration kGatherPerNode = std::chrono::milliseconds(15);
constexpr Duration kLeastGather = std::chrono::milliseconds(150);
constexpr Duration kMostGather = std::chrono::seconds(1);
constexpr int64_t kGathersPerDrain = 4;
constexpr Duration kRegisterLimit = std::chrono::seconds(1);
constexpr Duration kRegisterRetry = std::chrono::milliseconds(500);
constexpr int kConflict = 409;
constexpr int kFirstNotDone = 300;

}  // namespace

std::unique_ptr<StoreWatcher> GatewayNode::MakeWatcher(
    const std::string& kind,
    StoreWatcher::Hooks hooks) {
  hooks.on_lost = [this, kind](const std::string& why) {
    OnStoreLost(kind, why);
  };
  hooks.on_regained = [this, kind] { OnStoreRegained(kind); };
  hooks.on_call = [this](bool answered) {
    if (answered) {
      contact_.OnAnswer(MonotonicNow());
    } else {
      contact_.OnFailure(MonotonicNow());
    }
  };
  hooks.wait = [this] { return WatchWait(); };
  hooks.gather = [this] { return GatherTime(); };
  if (!hooks.on_confirmed) {
    hooks.on_confirmed = [](uint64_t) {};
  }
  return std::make_unique<StoreWatcher>(io_, state_.settings.store_address,
                                        codec_.store, kind, state_.rng.Next(),
                                        std::move(hooks));
}

// Many nodes wait longer a call, so that their calls stay within the rate.
Duration GatewayNode::WatchWait() const {
  const double calls =
      kWatchesPerNode * static_cast<double>(state_.node_count());
  const double seconds =
      calls / (kWatchShare * state_.settings.store_reads_per_second);
  return std::clamp<Duration>(FromSeconds(seconds), kLeastWatchWait,
                              kMostWatchWait);
}

// Each change goes to every node; many nodes take several changes a call, and
// stay well within the time that a leaving server gives.
Duration GatewayNode::GatherTime() const {
  const Duration wanted =
      kGatherPerNode * static_cast<int64_t>(state_.node_count());
  const Duration most =
      std::max(kLeastGather,
               std::min<Duration>(kMostGather, state_.settings.server_drain /
                                                   kGathersPerDrain));
  return std::clamp<Duration>(wanted, kLeastGather, most);
}

void GatewayNode::OnStoreLost(const std::string& kind, const std::string& why) {
  state_.log.Write(LogLine(ToName(GatewayEvent::kDependencyLost))
                       .With("dependency", "store")
                       .With("watch", kind)
                       .With("why", why),
                   GatewayEvent::kDependencyLost);
}

void GatewayNode::OnStoreRegained(const std::string& kind) {
  state_.log.Write(LogLine(ToName(GatewayEvent::kDependencyRegained))
                       .With("dependency", "store")
                       .With("watch", kind),
                   GatewayEvent::kDependencyRegained);
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
  CheckReady();
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

void GatewayNode::OnServerObject(const StoredObject& object) {
  const auto server = object.removed ? std::nullopt : ReadServer(object);
  if (!server) {
    servers_.OnRemoved(object.name);
    state_.directory.OnRemoved(ServerId(object.name),
                               contact_.KeepsMissingServers(MonotonicNow()));
    return;
  }
  servers_.OnObject(object);
  state_.directory.OnServer(*server);
}

void GatewayNode::OnServerList(const std::vector<StoredObject>& objects) {
  std::vector<ServerRecord> servers;
  std::vector<StoredObject> readable;
  for (const StoredObject& object : objects) {
    if (auto server = ReadServer(object)) {
      servers.push_back(std::move(*server));
      readable.push_back(object);
    }
  }
  servers_.OnList(readable);
  const TimePoint now = MonotonicNow();
  state_.directory.OnList(servers, contact_.KeepsMissingServers(now));
  state_.servers_confirmed_at = now;
  CheckReady();
}

void GatewayNode::OnNodeObject(const StoredObject& object) {
  const Json json = Json::parse(object.content, nullptr, false);
  if (object.removed || !json.is_object() || !json.contains("peers") ||
      !json["peers"].is_string()) {
    return;
  }
  const auto address = ParseAddress(json["peers"].get<std::string>());
  if (address) {
    nodes_.OnListed(object.name, address.value(), MonotonicNow());
  }
}

// Writes where this node takes its peers' messages.
void GatewayNode::Register() {
  const StoredObject object{
      .name = state_.settings.node.value(),
      .content =
          Json{{"peers", state_.settings.peer_address.ToString()}}.dump()};
  register_client_->Send(
      codec_.store.create(kGatewayNodeKind, object), kRegisterLimit,
      [this, object](const CallReply& created) {
        const bool answered = created.outcome == HttpCallOutcome::kAnswered;
        if (answered && created.status < kFirstNotDone) {
          return;
        }
        if (!answered || created.status != kConflict) {
          register_retry_.expires_after(kRegisterRetry);
          register_retry_.async_wait(
              [this](const boost::system::error_code& error) {
                if (!error) {
                  Register();
                }
              });
          return;
        }
        // An earlier process of this node wrote it, perhaps elsewhere.
        register_client_->Send(
            codec_.store.replace(kGatewayNodeKind, object), kRegisterLimit,
            [this](const CallReply& replaced) {
              if (replaced.outcome != HttpCallOutcome::kAnswered ||
                  replaced.status >= kFirstNotDone) {
                Register();
              }
            });
      });
}

}  // namespace qh
