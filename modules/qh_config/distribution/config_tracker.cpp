#include "qh_config/distribution/config_tracker.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

constexpr std::string_view kWatchRole = "config-watch";
// Number of deltas kept. A peer whose version is older gets the whole manifest.
constexpr size_t kMaxHistory = 64;
// Largest number of objects read from the store at the same time.
constexpr size_t kMaxStoreReads = 8;

}  // namespace

bool IsConfigWatcher(const InstanceId& self,
                     const FailureDomainId& failure_domain,
                     const std::vector<ConfigPeer>& peers,
                     size_t count) {
  const uint64_t role = Hash64(kWatchRole);
  const uint64_t own = RendezvousWeight(role, self.value());
  size_t heavier = 0;
  for (const ConfigPeer& peer : peers) {
    heavier += peer.failure_domain == failure_domain &&
               RendezvousWeight(role, peer.id.value()) > own;
  }
  return heavier < count;
}

ConfigTracker::ConfigTracker(const InstanceId& self,
                             const FailureDomainId& failure_domain,
                             const ConfigTrackerOptions& options,
                             uint64_t seed)
    : self_(self),
      failure_domain_(failure_domain),
      options_(options),
      rng_(seed),
      watch_retry_delay_(options.retry_min) {}

ConfigActions ConfigTracker::Advance(const ConfigEvent& event, TimePoint now) {
  actions_.clear();
  switch (event.kind) {
    case ConfigEventKind::kTick:
      OnTick(event.peers, now);
      break;
    case ConfigEventKind::kManifestRead:
      OnManifest(event, now);
      break;
    case ConfigEventKind::kManifestFailed:
      OnManifestFailed(event, now);
      break;
    case ConfigEventKind::kObjectRead:
      OnObjectRead(event.object, now);
      break;
    case ConfigEventKind::kObjectFailed:
      object_reads_ -= object_reads_ > 0 ? 1 : 0;
      break;
    case ConfigEventKind::kVersionReported:
      OnVersionReported(event, now);
      break;
    case ConfigEventKind::kPeerReplied:
      OnPeerReplied(event, now);
      break;
    case ConfigEventKind::kPeerFailed:
      peer_deadline_.reset();
      next_fetch_ = now;
      break;
  }
  PutInForceIfComplete();
  UpdateReady();
  return std::move(actions_);
}

void ConfigTracker::OnTick(const std::vector<ConfigPeer>& peers,
                           TimePoint now) {
  peers_ = peers;
  for (const ConfigPeer& peer : peers_) {
    highest_reported_ = std::max(highest_reported_, peer.version);
  }
  is_watcher_ = IsConfigWatcher(self_, failure_domain_, peers_,
                                options_.watchers_per_domain);
  AdvanceStoreCalls(now);
  AdvanceFetch(now);
}

void ConfigTracker::AdvanceStoreCalls(TimePoint now) {
  if (watch_deadline_ && now >= *watch_deadline_) {
    watch_deadline_.reset();
  }
  if (read_deadline_ && now >= *read_deadline_) {
    read_deadline_.reset();
    store_failed_ = true;
  }
  if (is_watcher_ && !watch_deadline_ && now >= next_watch_) {
    watch_deadline_ = now + options_.watch_wait + options_.call_timeout;
    ConfigAction action;
    action.kind = ConfigActionKind::kWatchManifest;
    action.revision = revision_;
    action.wait = options_.watch_wait;
    actions_.push_back(std::move(action));
  }
  if (!read_deadline_ && now >= next_read_) {
    read_deadline_ = now + options_.call_timeout;
    const Duration base =
        store_answered_ ? options_.poll_interval : options_.retry_max;
    next_read_ = now + base / 2 + rng_.Between(Duration::zero(), base);
    ConfigAction action;
    action.kind = ConfigActionKind::kReadManifest;
    actions_.push_back(std::move(action));
  }
}

void ConfigTracker::OnManifest(const ConfigEvent& event, TimePoint now) {
  (event.watched ? watch_deadline_ : read_deadline_).reset();
  // The answer to a watch may be outdated; a read returns the current manifest.
  store_answered_ = store_answered_ || !event.watched;
  store_failed_ = false;
  watch_retry_delay_ = options_.retry_min;
  revision_ = std::max(revision_, event.revision);
  highest_reported_ = std::max(highest_reported_, event.manifest.version);
  SetTarget(event.manifest, now);
}

void ConfigTracker::OnManifestFailed(const ConfigEvent& event, TimePoint now) {
  (event.watched ? watch_deadline_ : read_deadline_).reset();
  store_failed_ = true;
  if (event.watched) {
    next_watch_ = now + watch_retry_delay_ / 2 +
                  rng_.Between(Duration::zero(), watch_retry_delay_);
    watch_retry_delay_ = std::min(watch_retry_delay_ * 2, options_.retry_max);
  }
}

void ConfigTracker::OnVersionReported(const ConfigEvent& event, TimePoint now) {
  highest_reported_ = std::max(highest_reported_, event.version);
  const uint64_t have = target_ ? target_->version : in_force_.version;
  if (event.version > have && !peer_deadline_) {
    RequestFromPeer(event.peer, {in_force_.version, {}}, now);
  }
}

void ConfigTracker::OnPeerReplied(const ConfigEvent& event, TimePoint now) {
  peer_deadline_.reset();
  for (const ConfigObject& object : event.reply.objects) {
    CacheObject(object);
  }
  if (event.reply.version > 0) {
    const auto manifest = ApplyDelta(in_force_, event.reply);
    if (manifest) {
      SetTarget(manifest.value(), now);
    }
  }
  next_fetch_ = now;
}

void ConfigTracker::SetTarget(Manifest manifest, TimePoint now) {
  const uint64_t have = target_ ? target_->version : in_force_.version;
  const bool newer = manifest.version > have;
  const bool other = manifest.version > 0 && manifest.version != have;
  if (options_.guards.monotonic ? !newer : !other) {
    return;
  }
  target_ = std::move(manifest);
  fetch_attempts_ = 0;
  next_fetch_ = now;
  AdvanceFetch(now);
}

void ConfigTracker::OnObjectRead(const ConfigObject& object, TimePoint now) {
  CacheObject(object);
  object_reads_ -= object_reads_ > 0 ? 1 : 0;
  if (object_reads_ == 0) {
    next_fetch_ = now;
  }
}

void ConfigTracker::CacheObject(const ConfigObject& object) {
  if (ObjectKeyOf(object.text) == object.key) {
    objects_[object.key] = object.text;
  }
}

void ConfigTracker::AdvanceFetch(TimePoint now) {
  if (peer_deadline_ && now >= *peer_deadline_) {
    peer_deadline_.reset();
  }
  if (peer_deadline_ || now < next_fetch_) {
    return;
  }
  if (!target_) {
    const auto peer = PickPeerWith(in_force_.version + 1);
    if (peer) {
      RequestFromPeer(*peer, {in_force_.version, {}}, now);
    }
    return;
  }
  const std::vector<std::string> missing = MissingKeys();
  if (missing.empty()) {
    return;
  }
  const auto peer = PickPeerWith(target_->version);
  // Watchers try the store first, other nodes a peer; then both alternate.
  const bool from_peer = peer && (fetch_attempts_ % 2 == (is_watcher_ ? 1 : 0));
  ++fetch_attempts_;
  if (from_peer) {
    RequestFromPeer(*peer, {target_->version, missing}, now);
  } else {
    FetchFromStore(now);
  }
}

void ConfigTracker::FetchFromStore(TimePoint now) {
  next_fetch_ = now + options_.call_timeout +
                rng_.Between(Duration::zero(), options_.store_jitter);
  std::vector<std::string> missing = MissingKeys();
  missing.resize(std::min(missing.size(), kMaxStoreReads));
  object_reads_ = missing.size();
  for (std::string& key : missing) {
    ConfigAction action;
    action.kind = ConfigActionKind::kReadObject;
    action.key = std::move(key);
    actions_.push_back(std::move(action));
  }
}

void ConfigTracker::RequestFromPeer(const InstanceId& peer,
                                    ConfigPullRequest request,
                                    TimePoint now) {
  peer_deadline_ = now + options_.peer_timeout;
  ConfigAction action;
  action.kind = ConfigActionKind::kRequestFromPeer;
  action.peer = peer;
  action.request = std::move(request);
  actions_.push_back(std::move(action));
}

std::vector<std::string> ConfigTracker::MissingKeys() const {
  std::vector<std::string> missing;
  for (const ManifestEntry& entry : target_->entries) {
    if (!objects_.contains(entry.object_key)) {
      missing.push_back(entry.object_key);
    }
  }
  return missing;
}

std::optional<InstanceId> ConfigTracker::PickPeerWith(uint64_t version) {
  std::vector<InstanceId> candidates;
  std::vector<InstanceId> same_domain;
  for (const ConfigPeer& peer : peers_) {
    if (peer.version >= version) {
      candidates.push_back(peer.id);
      if (peer.failure_domain == failure_domain_) {
        same_domain.push_back(peer.id);
      }
    }
  }
  // Peers of other failure domains may be unreachable, and those of this domain
  // may have failed, so the choice alternates.
  prefer_same_domain_ = !prefer_same_domain_;
  if (prefer_same_domain_ && !same_domain.empty()) {
    candidates = std::move(same_domain);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[rng_.Below(candidates.size())];
}

void ConfigTracker::PutInForceIfComplete() {
  if (!target_ || !MissingKeys().empty()) {
    return;
  }
  history_.push_back(DeltaBetween(in_force_, *target_));
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
  in_force_ = std::move(*target_);
  target_.reset();
  ConfigAction action;
  action.kind = ConfigActionKind::kInForce;
  action.manifest = in_force_;
  std::map<std::string, std::string> kept;
  for (const ManifestEntry& entry : in_force_.entries) {
    const std::string& text = objects_[entry.object_key];
    action.files.push_back({entry.name, text});
    kept[entry.object_key] = text;
  }
  objects_ = std::move(kept);
  actions_.push_back(std::move(action));
}

void ConfigTracker::UpdateReady() {
  if (!is_ready_ && MayServe()) {
    is_ready_ = true;
    ConfigAction action;
    action.kind = ConfigActionKind::kReady;
    actions_.push_back(std::move(action));
  }
}

bool ConfigTracker::MayServe() const {
  if (!options_.guards.readiness) {
    return true;
  }
  if (in_force_.version == 0) {
    return false;
  }
  if (in_force_.version < highest_reported_) {
    return false;
  }
  if (store_answered_) {
    return true;
  }
  if (!store_failed_) {
    return false;
  }
  // Without the store, at least one ready node of every reachable failure
  // domain must be known, so that highest_reported_ covers the versions in
  // force there.
  std::set<FailureDomainId> reachable;
  std::set<FailureDomainId> ready;
  for (const ConfigPeer& peer : peers_) {
    reachable.insert(peer.failure_domain);
    if (peer.ready) {
      ready.insert(peer.failure_domain);
    }
  }
  return !reachable.empty() && ready == reachable;
}

ConfigPullReply ConfigTracker::Answer(const ConfigPullRequest& request) const {
  ConfigPullReply reply;
  std::set<std::string> wanted(request.missing.begin(), request.missing.end());
  if (request.missing.empty() && in_force_.version > request.have_version) {
    const auto base = std::find_if(
        history_.begin(), history_.end(), [&](const ConfigPullReply& delta) {
          return delta.base_version == request.have_version;
        });
    reply.version = in_force_.version;
    if (base != history_.end() && request.have_version != 0) {
      reply.base_version = request.have_version;
      std::map<std::string, std::string> changed;
      std::set<std::string> removed;
      for (auto delta = base; delta != history_.end(); ++delta) {
        for (const std::string& name : delta->removed) {
          changed.erase(name);
          removed.insert(name);
        }
        for (const ManifestEntry& entry : delta->changed) {
          removed.erase(entry.name);
          changed[entry.name] = entry.object_key;
        }
      }
      for (auto& [name, key] : changed) {
        wanted.insert(key);
        reply.changed.push_back({name, key});
      }
      reply.removed.assign(removed.begin(), removed.end());
    } else {
      reply.changed = in_force_.entries;
    }
  }
  size_t bytes = 0;
  for (const std::string& key : wanted) {
    const auto found = objects_.find(key);
    if (found != objects_.end() && bytes < kMaxPullBytes) {
      bytes += found->second.size();
      reply.objects.push_back({key, found->second});
    }
  }
  return reply;
}

size_t ConfigTracker::state_bytes() const {
  constexpr size_t kEntryBytes = 128;
  size_t bytes = sizeof(*this) + in_force_.entries.size() * kEntryBytes;
  for (const auto& [key, text] : objects_) {
    bytes += key.capacity() + text.capacity() + kEntryBytes;
  }
  for (const ConfigPullReply& delta : history_) {
    bytes += sizeof(delta) +
             (delta.changed.size() + delta.removed.size()) * kEntryBytes;
  }
  return bytes + peers_.capacity() * sizeof(ConfigPeer);
}

}  // namespace qh
