#include "qh_node/control/config_driver.h"

#include "qh_config/config_loader.h"
#include "qh_core/log/log_line.h"

namespace qh {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
constexpr size_t kMaxConcurrentCalls = 16;

// Returns the manifest in a store reply. It is empty if none has been stored
// yet.
Result<Manifest> ParseManifest(const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kNotFound:
      return Manifest();
    case StoreStatus::kOk:
      return Manifest::Decode(reply.object.body);
    default:
      return Error(ErrorKind::kStoreUnavailable,
                   std::string(ToName(reply.status)));
  }
}

}  // namespace

ConfigDriver::ConfigDriver(const InstanceId& self,
                           const FailureDomainId& failure_domain,
                           uint64_t seed,
                           PeerClient& client,
                           ConfigDriverHooks hooks)
    : self_(self),
      client_(client),
      hooks_(std::move(hooks)),
      tracker_(self, failure_domain, ConfigTrackerOptions(), seed),
      calls_(kMaxConcurrentCalls) {}

ConfigDriver::~ConfigDriver() {
  Stop();
}

void ConfigDriver::Start() {
  ticker_ = std::make_unique<Ticker>(kTickInterval, [this] { Tick(); });
}

void ConfigDriver::Stop() {
  ticker_.reset();
  calls_.Shutdown();
}

void ConfigDriver::Tick() {
  ConfigEvent event;
  event.kind = ConfigEventKind::kTick;
  event.peers = LivePeers();
  Advance(event);
}

std::vector<ConfigPeer> ConfigDriver::LivePeers() const {
  std::vector<ConfigPeer> peers;
  for (const Member& member : hooks_.members()) {
    if (member.id != self_ && member.state == MemberState::kLive) {
      peers.push_back({member.id, member.failure_domain, member.config_version,
                       member.ready});
    }
  }
  return peers;
}

void ConfigDriver::OnVersionReported(const InstanceId& peer, uint64_t version) {
  ConfigEvent event;
  event.kind = ConfigEventKind::kVersionReported;
  event.peer = peer;
  event.version = version;
  Advance(event);
}

void ConfigDriver::Advance(const ConfigEvent& event) {
  ConfigActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = tracker_.Advance(event, MonotonicNow());
  }
  for (const ConfigAction& action : actions) {
    Execute(action);
  }
}

void ConfigDriver::Execute(const ConfigAction& action) {
  switch (action.kind) {
    case ConfigActionKind::kWatchManifest:
    case ConfigActionKind::kReadManifest:
      return calls_.Run([this, action] { ReadManifest(action); });
    case ConfigActionKind::kReadObject:
      return calls_.Run([this, key = action.key] { ReadObject(key); });
    case ConfigActionKind::kRequestFromPeer:
      return calls_.Run(
          [this, action] { PullFromPeer(action.peer, action.request); });
    case ConfigActionKind::kInForce:
      return ApplyConfiguration(action);
    case ConfigActionKind::kReady:
      return LogLine("configuration_sure").Info();
  }
}

void ConfigDriver::ReadManifest(const ConfigAction& action) {
  ConfigEvent event;
  event.watched = action.kind == ConfigActionKind::kWatchManifest;
  if (event.watched) {
    const StoreReply watched = hooks_.store({.op = StoreOp::kWatch,
                                             .key = kManifestKey,
                                             .since = action.revision,
                                             .wait = action.wait});
    if (watched.status != StoreStatus::kOk) {
      event.kind = ConfigEventKind::kManifestFailed;
      return Advance(event);
    }
    event.revision = watched.revision;
  }
  // The reply to a watch that ends without a change has no object, so the
  // manifest is always read separately.
  const auto manifest =
      ParseManifest(hooks_.store({.op = StoreOp::kGet, .key = kManifestKey}));
  if (!manifest) {
    event.kind = ConfigEventKind::kManifestFailed;
  } else {
    event.kind = ConfigEventKind::kManifestRead;
    event.manifest = manifest.value();
  }
  Advance(event);
}

void ConfigDriver::ReadObject(const std::string& key) {
  const StoreReply reply = hooks_.store({.op = StoreOp::kGet, .key = key});
  ConfigEvent event;
  event.kind = reply.status == StoreStatus::kOk
                   ? ConfigEventKind::kObjectRead
                   : ConfigEventKind::kObjectFailed;
  event.object = {key, reply.object.body};
  Advance(event);
}

void ConfigDriver::PullFromPeer(const InstanceId& peer,
                                const ConfigPullRequest& request) {
  ConfigEvent event;
  event.kind = ConfigEventKind::kPeerFailed;
  event.peer = peer;
  for (const Member& member : hooks_.members()) {
    if (member.id != peer) {
      continue;
    }
    const auto reply = client_.Call(
        member.peers, {PeerCallKind::kConfig, request.Encode()}, kCallTimeout);
    if (reply) {
      auto decoded = ConfigPullReply::Decode(reply.value());
      if (decoded) {
        event.kind = ConfigEventKind::kPeerReplied;
        event.reply = std::move(decoded.value());
      }
    }
  }
  Advance(event);
}

void ConfigDriver::ApplyConfiguration(const ConfigAction& action) {
  LoadedConfig loaded = LoadConfig(action.files, ConfigMode::kTolerant);
  for (const ConfigMistake& mistake : loaded.mistakes) {
    LogLine("configuration_mistake")
        .With("version", action.manifest.version)
        .With("mistake", mistake.ToString())
        .Failure();
  }
  if (!loaded.mistakes.empty()) {
    return;
  }
  loaded.configuration.version = action.manifest.version;
  const std::lock_guard lock(in_force_mutex_);
  if (action.manifest.version <= in_force_version_) {
    return;
  }
  in_force_version_ = action.manifest.version;
  LogLine("configuration_in_force").With("version", in_force_version_).Info();
  hooks_.on_configuration(
      std::make_shared<const Configuration>(std::move(loaded.configuration)));
}

Result<std::string> ConfigDriver::OnCall(const std::string& body) const {
  BOOST_OUTCOME_TRY(request, ConfigPullRequest::Decode(body));
  const std::lock_guard lock(mutex_);
  return tracker_.Answer(request).Encode();
}

bool ConfigDriver::is_ready() const {
  const std::lock_guard lock(mutex_);
  return tracker_.is_ready();
}

bool ConfigDriver::is_watcher() const {
  const std::lock_guard lock(mutex_);
  return tracker_.is_watcher();
}

}  // namespace qh
