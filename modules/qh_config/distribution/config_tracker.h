// Which configuration version is in force on one node: hears of versions from
// the store and from peers, fetches what it misses, puts a version in force
// only when it is whole and newer, and knows when a fresh node may serve. Pure.

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

// Checks that the search for their effect can switch off. The daemon leaves all
// of them on.
struct ConfigGuards {
  // Refuses versions that are not newer than the one in force.
  bool monotonic = true;
  // Serves only when no newer version can be in force elsewhere.
  bool readiness = true;
};

struct ConfigTrackerOptions {
  // Watchers per failure domain.
  size_t watchers_per_domain = 2;
  // How long the store may hold a watch. Short, since only its end tells a
  // held watch from one whose answer is lost.
  Duration watch_wait = std::chrono::seconds(2);
  // After that a call to the store, or to a peer, counts as failed.
  Duration call_timeout = std::chrono::seconds(1);
  Duration peer_timeout = std::chrono::milliseconds(400);
  Duration retry_min = std::chrono::milliseconds(250);
  Duration retry_max = std::chrono::seconds(1);
  // Every node reads the manifest this often, whoever watches.
  Duration poll_interval = std::chrono::seconds(60);
  // A node that does not watch waits up to this long for a peer before it
  // reads a file from the store.
  Duration store_jitter = std::chrono::milliseconds(300);
  ConfigGuards guards;
};

// A live node as the tracker needs it.
struct ConfigPeer {
  InstanceId id;
  FailureDomainId failure_domain;
  uint64_t version = 0;
  bool ready = false;
};

enum class ConfigEventKind {
  // Time passed; `peers` are the live nodes, without this one.
  kTick,
  // The store answered a watch or a read of the manifest: `manifest`, or
  // version zero when none was accepted yet; `revision`; `watched`.
  kManifestRead,
  // A watch or read of the manifest failed; `watched`.
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
  kReadManifest,
  // Read the object `key` from the store.
  kReadObject,
  // Send `request` to `peer`.
  kRequestFromPeer,
  // `manifest` with `files` is in force from now on.
  kInForce,
  // This node may serve.
  kReady,
};

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

class ConfigTracker {
 public:
  ConfigTracker(const InstanceId& self,
                const FailureDomainId& failure_domain,
                const ConfigTrackerOptions& options,
                uint64_t seed);

  // Takes one event at `now` and returns what to do. `now` never goes back.
  ConfigActions Advance(const ConfigEvent& event, TimePoint now);

  // Answers a peer's request from what is in force here.
  ConfigPullReply Answer(const ConfigPullRequest& request) const;

  // Returns the version in force; zero before the first.
  uint64_t version() const { return in_force_.version; }
  bool is_ready() const { return is_ready_; }
  bool is_watcher() const { return is_watcher_; }
  // Returns the bytes of state held, texts included.
  size_t state_bytes() const;

 private:
  void OnTick(const std::vector<ConfigPeer>& peers, TimePoint now);
  void OnManifest(const ConfigEvent& event, TimePoint now);
  void OnManifestFailed(const ConfigEvent& event, TimePoint now);
  void OnVersionHeard(const ConfigEvent& event, TimePoint now);
  void OnPeerReplied(const ConfigEvent& event, TimePoint now);

  void AdvanceStoreCalls(TimePoint now);
  void AdvanceFetch(TimePoint now);
  void SetTarget(Manifest manifest, TimePoint now);
  void OnObjectRead(const ConfigObject& object, TimePoint now);
  void KeepObject(const ConfigObject& object);
  void FetchFromStore(TimePoint now);
  void AskPeer(const InstanceId& peer,
               ConfigPullRequest request,
               TimePoint now);
  std::vector<std::string> MissingKeys() const;
  std::optional<InstanceId> PeerWith(uint64_t version);
  void PutInForceIfWhole();
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
  // Changes that led to in_force_, oldest first, each from the version before.
  std::deque<ConfigPullReply> history_;
  std::vector<ConfigPeer> peers_;
  bool is_watcher_ = false;
  bool is_ready_ = false;
  // Highest version that anyone told of.
  uint64_t highest_heard_ = 0;
  // Whether the store answered since this process started, and when it failed.
  bool store_answered_ = false;
  bool store_failed_ = false;
  uint64_t revision_ = 0;
  // When the outstanding calls count as failed; nothing when none is.
  std::optional<TimePoint> watch_until_;
  std::optional<TimePoint> read_until_;
  std::optional<TimePoint> peer_until_;
  TimePoint next_watch_;
  TimePoint next_read_;
  TimePoint next_fetch_;
  Duration retry_;
  uint32_t fetch_attempts_ = 0;
  bool prefer_near_ = false;
  // Reads of objects from the store without an answer yet.
  size_t object_reads_ = 0;
  ConfigActions actions_;
};

// Returns whether `self` is among the `count` nodes of its failure domain that
// watch the store, by rendezvous over `self` and `peers`.
bool IsConfigWatcher(const InstanceId& self,
                     const FailureDomainId& failure_domain,
                     const std::vector<ConfigPeer>& peers,
                     size_t count);

}  // namespace qh

#endif  // QH_CONFIG_DISTRIBUTION_CONFIG_TRACKER_H_
