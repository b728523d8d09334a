// Tracks which configuration version is in force on one gateway node: learns of
// versions from the store and from peers, fetches missing objects, puts a
// version in force only when it is complete and newer, and decides when a newly
// started node may serve. A pure state machine without I/O.

#ifndef QH_CONFIG_DISTRIBUTION_CONFIG_TRACKER_H_
#define QH_CONFIG_DISTRIBUTION_CONFIG_TRACKER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "qh_config/distribution/config_pull.h"
#include "qh_core/ids/ids.h"
#include "qh_core/random/rng.h"
#include "qh_core/time/time.h"

namespace qh {

// Safety checks, all on in production. Tests and the control search switch
// single checks off to show which failures they prevent.
struct ConfigGuards {
  // Refuses versions that are not newer than the one in force.
  bool monotonic = true;
  // Serves only when no newer version can be in force elsewhere.
  bool readiness = true;
};

struct ConfigTrackerOptions {
  // Number of nodes per failure domain that watch the store.
  size_t watchers_per_domain = 2;
  // How long the store may hold a watch. Short, because until a watch ends a
  // lost answer cannot be told from a watch without changes.
  Duration watch_wait = std::chrono::seconds(2);
  // Timeouts of calls to the store and to a peer.
  Duration call_timeout = std::chrono::seconds(1);
  Duration peer_timeout = std::chrono::milliseconds(400);
  // Bounds of the delay before a failed watch is retried. retry_max is also the
  // interval of manifest reads until the store has answered one.
  Duration retry_min = std::chrono::milliseconds(250);
  Duration retry_max = std::chrono::seconds(1);
  // Mean interval at which every node reads the manifest, watcher or not.
  Duration poll_interval = std::chrono::seconds(60);
  // Largest random time added to the wait after reads of objects from the
  // store.
  Duration store_jitter = std::chrono::milliseconds(300);
  ConfigGuards guards;
};

// What the tracker knows of another live gateway node.
struct ConfigPeer {
  InstanceId id;
  FailureDomainId failure_domain;
  // Version in force.
  uint64_t version = 0;
  bool ready = false;
};

enum class ConfigEventKind {
  // Time has passed; `peers` are the live nodes, without this one.
  kTick,
  // The store answered a watch (`watched`) or a read of the manifest with
  // `manifest`, whose version is zero when none was accepted yet, and
  // `revision`.
  kManifestRead,
  // A watch (`watched`) or a read of the manifest failed.
  kManifestFailed,
  // The store returned `object`.
  kObjectRead,
  // The store failed to return the object with key `object.key`.
  kObjectFailed,
  // `peer` has `version` in force.
  kVersionReported,
  // `peer` answered with `reply`.
  kPeerReplied,
  // `peer` did not answer.
  kPeerFailed,
};

// ConfigEventKind says which fields an event uses.
struct ConfigEvent {
  ConfigEventKind kind = ConfigEventKind::kTick;
  std::vector<ConfigPeer> peers;
  Manifest manifest;
  uint64_t revision = 0;
  bool watched = false;
  ConfigObject object;
  InstanceId peer;
  uint64_t version = 0;
  ConfigPullReply reply;
};

enum class ConfigActionKind {
  // Watch the manifest for revisions after `revision`, held for `wait`.
  kWatchManifest,
  // Read the manifest.
  kReadManifest,
  // Read the object `key` from the store.
  kReadObject,
  // Send `request` to `peer`.
  kRequestFromPeer,
  // Put `manifest` with `files` in force.
  kInForce,
  // This node may serve.
  kReady,
};

// ConfigActionKind says which fields an action uses.
struct ConfigAction {
  ConfigActionKind kind = ConfigActionKind::kReadManifest;
  uint64_t revision = 0;
  Duration wait = Duration::zero();
  std::string key;
  InstanceId peer;
  ConfigPullRequest request;
  Manifest manifest;
  std::vector<ConfigFile> files;
};

using ConfigActions = std::vector<ConfigAction>;

// Not thread safe.
class ConfigTracker {
 public:
  // `self` and `failure_domain` identify this node. `seed` initializes the
  // random number generator.
  ConfigTracker(const InstanceId& self,
                const FailureDomainId& failure_domain,
                const ConfigTrackerOptions& options,
                uint64_t seed);

  // Processes one event at `now` and returns the resulting actions. `now` must
  // not decrease between calls.
  ConfigActions Advance(const ConfigEvent& event, TimePoint now);

  // Returns the answer to a peer's request, from the configuration in force.
  ConfigPullReply Answer(const ConfigPullRequest& request) const;

  // Returns the version in force; zero before the first.
  uint64_t version() const { return in_force_.version; }
  // Returns whether this node may serve; never becomes false again.
  bool is_ready() const { return is_ready_; }
  // Returns whether this node watches the store.
  bool is_watcher() const { return is_watcher_; }
  // Returns the approximate memory use in bytes, file texts included.
  size_t state_bytes() const;

 private:
  void OnTick(const std::vector<ConfigPeer>& peers, TimePoint now);
  void OnManifest(const ConfigEvent& event, TimePoint now);
  void OnManifestFailed(const ConfigEvent& event, TimePoint now);
  void OnVersionReported(const ConfigEvent& event, TimePoint now);
  void OnPeerReplied(const ConfigEvent& event, TimePoint now);

  void AdvanceStoreCalls(TimePoint now);
  // Requests the missing objects of the target, or a newer version that a peer
  // has in force.
  void AdvanceFetch(TimePoint now);
  // Makes `manifest` the target if it is newer than the target and the version
  // in force.
  void SetTarget(Manifest manifest, TimePoint now);
  void OnObjectRead(const ConfigObject& object, TimePoint now);
  // Keeps the object in objects_ if its key matches its text.
  void CacheObject(const ConfigObject& object);
  void FetchFromStore(TimePoint now);
  void RequestFromPeer(const InstanceId& peer,
                       ConfigPullRequest request,
                       TimePoint now);
  // Returns the keys of target_'s objects that are not in objects_.
  std::vector<std::string> MissingKeys() const;
  // Returns a random peer with `version` or a newer one in force.
  std::optional<InstanceId> PickPeerWith(uint64_t version);
  void PutInForceIfComplete();
  void UpdateReady();
  bool MayServe() const;

  const InstanceId self_;
  const FailureDomainId failure_domain_;
  const ConfigTrackerOptions options_;
  Rng rng_;
  Manifest in_force_;
  // Newer than in_force_ when set; its files are being fetched.
  std::optional<Manifest> target_;
  // Texts of in_force_ and of target_ by object key.
  std::map<std::string, std::string> objects_;
  // Deltas that led to in_force_, oldest first, each relative to the version
  // put in force before.
  std::deque<ConfigPullReply> history_;
  std::vector<ConfigPeer> peers_;
  bool is_watcher_ = false;
  bool is_ready_ = false;
  // Highest version that the store or a peer has reported.
  uint64_t highest_reported_ = 0;
  // Whether the store has answered a read since this process started.
  bool store_answered_ = false;
  // Whether the last call for the manifest failed.
  bool store_failed_ = false;
  // Highest revision that the store has reported.
  uint64_t revision_ = 0;
  // Deadlines of the outstanding watch, manifest read and call to a peer; empty
  // when there is none.
  std::optional<TimePoint> watch_deadline_;
  std::optional<TimePoint> read_deadline_;
  std::optional<TimePoint> peer_deadline_;
  TimePoint next_watch_;
  TimePoint next_read_;
  TimePoint next_fetch_;
  // Delay before the next retry of a watch.
  Duration watch_retry_delay_;
  // Attempts to fetch the missing objects of target_.
  uint32_t fetch_attempts_ = 0;
  // Alternates between peers of this failure domain and all peers.
  bool prefer_same_domain_ = false;
  // Outstanding reads of objects from the store.
  size_t object_reads_ = 0;
  // Collects the actions of the current Advance.
  ConfigActions actions_;
};

// Returns whether `self` is among the `count` nodes of its failure domain that
// watch the store, by rendezvous hashing over `self` and `peers`.
bool IsConfigWatcher(const InstanceId& self,
                     const FailureDomainId& failure_domain,
                     const std::vector<ConfigPeer>& peers,
                     size_t count);

}  // namespace qh

#endif  // QH_CONFIG_DISTRIBUTION_CONFIG_TRACKER_H_
