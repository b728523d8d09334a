// Runs the ConfigTracker: carries its reads and watches to the store and its
// questions to peers, and puts loaded configurations in force.

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

// Called without the driver's lock; all are thread safe.
struct ConfigDriverHooks {
  StoreHook store;
  // Every known member, this node included.
  std::function<std::vector<Member>()> members;
  // Called in the order of versions.
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
  // Ends the ticks and waits for calls on the way, a held watch included.
  void Stop();

  // Answers a peer's call. Fails with kPeerMalformed.
  Result<std::string> OnCall(const std::string& body) const;

  // `peer` has `version` in force.
  void OnVersionHeard(const InstanceId& peer, uint64_t version);

  // Whether no newer version can be in force elsewhere.
  bool is_ready() const;
  // Whether this node is among those that watch the store for its failure
  // domain.
  bool is_watcher() const;

 private:
  void Tick();
  void Advance(const ConfigEvent& event);
  void Carry(const ConfigAction& action);
  void ReadManifest(const ConfigAction& action);
  void ReadObject(const std::string& key);
  void AskPeer(const InstanceId& peer, const ConfigPullRequest& request);
  void PutInForce(const ConfigAction& action);
  std::vector<ConfigPeer> LivePeers() const;

  const InstanceId self_;
  PeerClient& client_;
  const ConfigDriverHooks hooks_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  ConfigTracker tracker_;
  // Version last given to on_configuration. Guarded by in_force_mutex_.
  std::mutex in_force_mutex_;
  uint64_t in_force_ = 0;
  ElasticPool calls_;
  std::unique_ptr<Ticker> ticker_;
};

}  // namespace qh

#endif  // QH_NODE_CONTROL_CONFIG_DRIVER_H_
