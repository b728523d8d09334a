// Driver of the ConfigTracker: performs its reads and watches of the store and
// its pulls from peers, and puts loaded configurations in force.

#ifndef QH_NODE_CONTROL_CONFIG_DRIVER_H_
#define QH_NODE_CONTROL_CONFIG_DRIVER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "qh_config/configuration.h"
#include "qh_config/distribution/config_tracker.h"
#include "qh_http/elastic_pool.h"
#include "qh_membership/member.h"
#include "qh_node/control/ticker.h"
#include "qh_peer/peer_client.h"
#include "qh_platform/store/object_store.h"

namespace qh {

// Calls from the driver to the rest of the node, made without the driver's
// lock. All are thread safe.
struct ConfigDriverHooks {
  StoreHook store;
  // Returns every known member, this node included.
  std::function<std::vector<Member>()> members;
  // Called for each configuration that comes into force, in the order of
  // versions.
  std::function<void(ConfigurationPtr)> on_configuration;
};

// Thread safe.
class ConfigDriver {
 public:
  ConfigDriver(const InstanceId& self,
               const FailureDomainId& failure_domain,
               uint64_t seed,
               PeerClient& client,
               ConfigDriverHooks hooks);
  ~ConfigDriver();

  void Start();
  // Stops the ticks and waits for running calls, including a pending watch.
  void Stop();

  // Answers a peer's pull request. Fails with kPeerMalformed.
  Result<std::string> OnCall(const std::string& body) const;

  // Reports that `peer` has `version` in force.
  void OnVersionReported(const InstanceId& peer, uint64_t version);

  // Whether this node has the newest configuration: no newer version can be in
  // force elsewhere.
  bool is_ready() const;
  // Whether this node is one of those that watch the store on behalf of its
  // failure domain.
  bool is_watcher() const;

 private:
  void Tick();
  // Passes `event` to the tracker and executes the resulting actions.
  void Advance(const ConfigEvent& event);
  void Execute(const ConfigAction& action);
  // Reads the manifest, for a watch action after it has changed or the watch
  // has expired.
  void ReadManifest(const ConfigAction& action);
  void ReadObject(const std::string& key);
  void PullFromPeer(const InstanceId& peer, const ConfigPullRequest& request);
  // Loads the configuration and puts it in force, unless it has mistakes or a
  // newer version is in force.
  void ApplyConfiguration(const ConfigAction& action);
  std::vector<ConfigPeer> LivePeers() const;

  const InstanceId self_;
  PeerClient& client_;
  const ConfigDriverHooks hooks_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  ConfigTracker tracker_;
  // Held during on_configuration, so that its calls are in order.
  std::mutex in_force_mutex_;
  // Version last passed to on_configuration. Guarded by in_force_mutex_.
  uint64_t in_force_version_ = 0;
  ElasticPool calls_;
  std::unique_ptr<Ticker> ticker_;
};

}  // namespace qh

#endif  // QH_NODE_CONTROL_CONFIG_DRIVER_H_
