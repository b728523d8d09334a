// One gateway process: its listeners, its view of the store and of the other
// nodes, the leader's tasks, and its start, reload and stop. The implementation
// is in gateway_node.cpp (life cycle, HTTP services), gateway_node_peers.cpp
// (the other nodes), gateway_node_store.cpp (the store) and
// gateway_node_metrics.cpp (metrics).

#ifndef QH_GATEWAY_CONTROL_GATEWAY_NODE_H_
#define QH_GATEWAY_CONTROL_GATEWAY_NODE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "qh_gateway/control/deployment_record.h"
#include "qh_gateway/control/leader_tasks.h"
#include "qh_gateway/control/peer_exchange.h"
#include "qh_gateway/control/peer_state_fetcher.h"
#include "qh_gateway/control/rollout_control.h"
#include "qh_gateway/control/store_watcher.h"
#include "qh_gateway/control/verdict_archive.h"
#include "qh_gateway/decisions/store/copy_check.h"
#include "qh_gateway/decisions/store/store_mirror.h"
#include "qh_gateway/forwarding/gateway_state.h"
#include "qh_net/http_service.h"

namespace qh {

// One node of the deployment. Runs on one io_context and one thread.
class GatewayNode {
 public:
  // Time between two rounds of periodic work.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  // Kind of the stored objects that nodes share: one per node with its address
  // for heartbeats, and those of VerdictArchive.
  static constexpr const char* kGatewayNodeKind = "gateway-nodes";

  // Opens every listener. `reload` reads the settings again on SIGHUP. Fails
  // with kConfigInvalid or kInternal.
  static Result<std::unique_ptr<GatewayNode>> Create(
      boost::asio::io_context& io,
      const WireCodec& codec,
      const GatewaySettings& settings,
      std::function<Result<GatewaySettings>()> reload);
  ~GatewayNode();

  // Starts serving; the caller then runs the io_context, which stops when the
  // node has stopped.
  void Start();
  // Starts to stop, also on SIGTERM and SIGINT: the node is no longer ready,
  // finishes its open requests and then stops the io_context.
  void BeginStop();

  // Whether the node has a configuration and a list of servers and isn't
  // stopping.
  bool is_ready() const;
  // What the node knows and counts, for diagnosis.
  const GatewayState& state() const { return state_; }

 private:
  using ServersByName = std::map<std::string, ServerRecord>;

  // An update, and what of it a mirror took.
  struct TakenUpdate {
    UpdateOutcome outcome = UpdateOutcome::kPassedOver;
    std::optional<StoreUpdate> taken;
  };

  GatewayNode(boost::asio::io_context& io,
              const WireCodec& codec,
              const GatewaySettings& settings,
              std::function<Result<GatewaySettings>()> reload);

  Result<void> Open();
  void WaitForSignals();
  // Accepts callers' connections.
  void Accept();
  // Does the periodic work, every kTickInterval.
  void Tick();
  // The version of the configuration in force; zero without one.
  uint64_t ConfigVersion() const;
  // Logs which kinds of state have become aged.
  void ReportAgedState();
  // Logs a change of is_ready and announces it to the peers.
  void UpdateReadiness();
  // Stops the io_context once a stopping node has finished its requests or its
  // grace period is nearly over.
  void StopWhenDrained(TimePoint now);

  // The watchers of this node.
  std::vector<StoreWatcher*> Watchers() const;
  // Fills in the hooks that all watchers share.
  std::unique_ptr<StoreWatcher> MakeWatcher(const std::string& kind,
                                            StoreWatcher::Hooks hooks);
  // How long the store may hold a watch call open.
  Duration WatchWait() const;
  // Delay between two watch calls.
  Duration WatchBatchDelay() const;
  void OnStoreLost(const std::string& kind, const std::string& reason);
  void OnStoreRegained(const std::string& kind);
  // The store confirmed that this node's copy was current at `sent_at`.
  void OnStoreConfirmed(StateKind kind, TimePoint sent_at);
  void OnConfigObject(const StoredObject& object);
  // Decodes the servers of `update`. One that can't be read counts as removed.
  ServersByName ReadServers(StoreUpdate& update);
  // Apply what the store or a peer says of the servers or of the nodes, unless
  // it is older than this node's copy.
  UpdateOutcome OnServers(StoreUpdate update);
  UpdateOutcome OnNodes(StoreUpdate update);
  // Lets `mirror`, the copy of `kind`, take an update. If it contradicts the
  // copy, all objects are read anew: from the store by a node that follows it,
  // else from a peer.
  TakenUpdate TakeUpdate(const char* kind,
                         StoreMirror& mirror,
                         StoreWatcher& watcher,
                         const StoreUpdate& update);
  // Tell the directory what was taken of an update; `servers` are those of the
  // update.
  void ApplyServerList(const ServersByName& servers);
  void ApplyServerChanges(const std::vector<StoredObject>& changes,
                          const ServersByName& servers);
  // Logs an update that is of interest, and counts one that was passed over.
  void LogUpdate(const char* kind,
                 const StoreUpdate& update,
                 UpdateOutcome outcome,
                 const StoreVersion& known);
  // Decodes a server's registration; logs one that can't be decoded.
  std::optional<ServerRecord> ReadServer(const StoredObject& object);
  // Registers this node anew if the store has lost its registration.
  void OnNodeList(const std::vector<StoredObject>& objects);
  // Adds a node to the known ones if its registration can be read.
  void AddNode(const StoredObject& object);
  // Whether this is the registration of this node, with its present address. An
  // older copy of the store may hold that of an earlier process.
  bool IsOwnRegistration(const StoredObject& object) const;
  // The store's epoch became known or rose.
  void OnStoreEpoch(uint64_t epoch, bool restored);
  // Writes this node's address for heartbeats to the store, with retries.
  void RegisterNode();

  // Whether this node follows the store and is answered.
  bool FollowsStore() const;
  // Whether this node writes the deployment's record: the leader, and the first
  // of the nodes that follow the store. Two writers do no harm, and one of them
  // may have started too recently to write.
  bool WritesRecord(TimePoint now) const;
  // Checks the open watches of state whose confirmation is due.
  void CheckOpenWatches();
  StoreWatcher& WatcherOf(StateKind kind);
  // Fills in what this node's heartbeats tell of the node and of the store.
  void DescribeNode(PeerHeartbeat& heartbeat) const;
  void OnHeartbeat(const PeerHeartbeat& heartbeat);
  // Notes that a peer whose state is no newer than this node's has confirmed
  // it.
  void ConfirmByPeer(const PeerHeartbeat& heartbeat);
  // Reads the servers anew if this node's copy differs from a peer's of the
  // same version.
  void ReadDoubtfulServers(TimePoint now);
  // Starts or stops following the store, as the node's role requires.
  void UpdateRole(TimePoint now);
  void SetFollowing(bool following, TimePoint now);
  // Fetches the configuration and the lists of servers and of nodes from peers
  // that have newer ones.
  void FetchNewerState(TimePoint now);
  void FetchNewer(PeerState state, TimePoint now);
  // Whether a peer's copy is newer than this node's.
  bool IsNewer(PeerState state, const NodeState& peer) const;
  // Returns the peers that are known to have newer state; empty if none has had
  // any for long enough.
  std::vector<Address> PeersToAsk(PeerState state, TimePoint now);
  // Returns the peers of any failure domain that have had newer state for long
  // enough.
  std::vector<Address> PeersWithNewer(PeerState state, TimePoint now);
  // Asks a node of another failure domain, so that this one does not depend on
  // its relays. Does nothing if one was asked just before.
  void FetchElsewhere(PeerState state, TimePoint now);
  // Calls one of `peers` for `target`.
  void Fetch(PeerState state,
             const std::vector<Address>& peers,
             const std::string& target);
  // Whether this node's copy was not confirmed for long.
  bool IsAged(PeerState state) const;
  // Returns the version since which a peer's changes are of use, or that of the
  // configuration as the revision.
  StoreVersion BaseOf(PeerState state) const;
  // Returns the relays of this node's failure domain with newer state.
  std::vector<Address> RelaysWithNewer(PeerState state, TimePoint now) const;
  // Applies what a peer answered that was asked for what is newer than `since`.
  // Returns whether it was newer, though it may have contradicted the copy.
  bool OnPeerState(PeerState state,
                   const std::string& body,
                   const StoreVersion& since);
  bool OnPeerConfig(const std::string& content);

  // Answers the cloud's readiness check.
  ServiceAnswer AnswerReady(const HttpHead& head) const;
  // Answers a caller that asks which nodes to use.
  ServiceAnswer AnswerLocate(const HttpHead& head) const;
  // Answers a peer's PeerStateFetcher.
  ServiceAnswer AnswerPeer(const HttpHead& head) const;
  ServiceAnswer AnswerMetrics(const HttpHead& head);
  // Set the gauges of this node's load, of its copies of the store's state, and
  // of its servers' speeds.
  void SetLoadMetrics();
  void SetStateMetrics(TimePoint now);
  void SetSpeedMetrics();

  boost::asio::io_context& io_;
  const WireCodec& codec_;
  std::function<Result<GatewaySettings>()> reload_;
  // Random name of this process.
  std::string incarnation_;
  TimePoint started_at_;
  GatewayState state_;
  LeaderTasks leader_tasks_;
  PeerExchange peers_;
  VerdictArchive verdict_archive_;
  DeploymentRecord deployment_record_;
  RolloutControl rollout_control_;
  StoreConnection register_connection_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer register_timer_;
  boost::asio::steady_timer accept_timer_;
  std::optional<TcpAcceptor> caller_acceptor_;
  std::shared_ptr<HttpService> readiness_service_;
  std::shared_ptr<HttpService> locate_service_;
  std::shared_ptr<HttpService> peer_service_;
  std::shared_ptr<HttpService> metrics_service_;

  std::unique_ptr<StoreWatcher> config_watcher_;
  std::unique_ptr<StoreWatcher> server_watcher_;
  std::unique_ptr<StoreWatcher> node_watcher_;
  // Null without rollouts.
  std::unique_ptr<StoreWatcher> rollout_watcher_;
  // Stored content of the configuration in force, for peers that can't reach
  // the store.
  std::string config_content_;
  // The servers and the nodes as last reported by the store or a peer.
  StoreMirror server_mirror_;
  StoreMirror node_mirror_;
  CopyCheck server_copy_check_;
  // When this node last had to follow the store, and since when it has to
  // without a break.
  TimePoint following_needed_at_;
  std::optional<TimePoint> follow_due_since_;
  // When the store first listed the nodes.
  std::optional<TimePoint> nodes_listed_at_;
  // Since when a peer has had newer state, by PeerState.
  std::array<std::optional<TimePoint>, std::size(kEnumNames<PeerState>)>
      behind_since_;
  // When nodes of other failure domains were last asked, by PeerState.
  std::array<std::optional<TimePoint>, std::size(kEnumNames<PeerState>)>
      asked_elsewhere_at_;
  StoreReachability store_reachability_;
  PeerStateFetcher fetcher_;
  // Whether the store holds this node's registration.
  bool registered_ = false;
  // Whether this node follows the store.
  bool following_ = false;
  // Value of is_ready that was last announced.
  bool was_ready_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_GATEWAY_NODE_H_
