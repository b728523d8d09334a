// One gateway process: its listeners, its view of the store and of the other
// nodes, the leader's tasks, and its start, reload and stop. The implementation
// is in gateway_node.cpp (life cycle, HTTP services), gateway_node_peers.cpp
// (the other nodes) and gateway_node_store.cpp (the store).

#ifndef QH_GATEWAY_CONTROL_GATEWAY_NODE_H_
#define QH_GATEWAY_CONTROL_GATEWAY_NODE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "qh_gateway/control/leader_tasks.h"
#include "qh_gateway/control/peer_heartbeat.h"
#include "qh_gateway/control/store_watcher.h"
#include "qh_gateway/decisions/node_table.h"
#include "qh_gateway/decisions/server_snapshot.h"
#include "qh_gateway/forwarding/gateway_state.h"
#include "qh_net/http_service.h"

namespace qh {

// One node of the deployment. Runs on one io_context and one thread.
class GatewayNode {
 public:
  // Time between two rounds of periodic work.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  // Kind of the stored objects through which nodes find each other: one object
  // per node with its address for heartbeats.
  static constexpr const char* kGatewayNodeKind = "gateway-nodes";
  // Time between two heartbeats; large deployments use a longer one.
  static constexpr Duration kMinHeartbeatInterval =
      std::chrono::milliseconds(150);

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

 private:
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
  // Logs a change of is_ready and announces it to the peers.
  void UpdateReadiness();
  // Stops the io_context once a stopping node has finished its requests or its
  // grace period is nearly over.
  void StopWhenDrained(TimePoint now);

  // Fills in the hooks that all watchers share.
  std::unique_ptr<StoreWatcher> MakeWatcher(const std::string& kind,
                                            StoreWatcher::Hooks hooks);
  // How long the store may hold a watch call open.
  Duration WatchWait() const;
  // Delay between two watch calls.
  Duration WatchBatchDelay() const;
  void OnStoreLost(const std::string& kind, const std::string& reason);
  void OnStoreRegained(const std::string& kind);
  void OnConfigObject(const StoredObject& object);
  void OnServerObject(const StoredObject& object);
  // Decodes a server's registration; logs one that can't be decoded.
  std::optional<ServerRecord> ReadServer(const StoredObject& object);
  void OnServerList(const std::vector<StoredObject>& objects);
  // Registers this node anew if the store has lost its registration.
  void OnNodeList(const std::vector<StoredObject>& objects);
  void OnNodeObject(const StoredObject& object);
  // The store's epoch became known or rose.
  void OnStoreEpoch(uint64_t epoch, bool restored);
  // Writes this node's address for heartbeats to the store, with retries.
  void RegisterNode();

  Duration HeartbeatInterval() const;
  void SendHeartbeat(TimePoint now);
  void ReceiveHeartbeats();
  void OnHeartbeat(const PeerHeartbeat& heartbeat);
  // Fetches the configuration or the list of servers from a peer that has a
  // newer one. The list is fetched only while the store can't be reached.
  void FetchNewerState(TimePoint now);
  // Applies the snapshot of the servers fetched from a peer if it is newer than
  // this node's.
  void OnPeerServers(const std::string& encoded);
  // Fetches `path` from `peer` and passes the body to `on_body` on success.
  void FetchFromPeer(const Address& peer,
                     const std::string& path,
                     std::function<void(const std::string&)> on_body);

  // Answers the cloud's readiness check.
  ServiceAnswer AnswerReady(const HttpHead& head) const;
  // Answers a caller that asks which nodes to use.
  ServiceAnswer AnswerLocate(const HttpHead& head) const;
  // Answers a peer's FetchFromPeer.
  ServiceAnswer AnswerPeer(const HttpHead& head) const;
  ServiceAnswer AnswerMetrics(const HttpHead& head);

  boost::asio::io_context& io_;
  const WireCodec& codec_;
  std::function<Result<GatewaySettings>()> reload_;
  // Random name of this process.
  std::string incarnation_;
  TimePoint started_at_;
  GatewayState state_;
  NodeTable nodes_;
  LeaderTasks leader_tasks_;
  StoreConnection register_connection_;
  // Whether the store holds this node's registration.
  bool registered_ = false;

  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer register_timer_;
  boost::asio::steady_timer accept_timer_;
  std::optional<TcpAcceptor> caller_acceptor_;
  std::shared_ptr<HttpService> readiness_service_;
  std::shared_ptr<HttpService> locate_service_;
  std::shared_ptr<HttpService> peer_service_;
  std::shared_ptr<HttpService> metrics_service_;
  boost::asio::ip::udp::socket heartbeat_socket_;
  uint64_t heartbeat_sequence_ = 0;
  TimePoint heartbeat_sent_at_;
  // Prefill rates of each peer by service, by node.
  std::map<std::string, std::map<std::string, double>> peer_prefill_rates_;
  // Sequence number of the last heartbeat of each peer process, by incarnation.
  std::map<std::string, uint64_t> last_sequences_;

  std::unique_ptr<StoreWatcher> config_watcher_;
  std::unique_ptr<StoreWatcher> server_watcher_;
  std::unique_ptr<StoreWatcher> node_watcher_;
  // Stored content of the configuration in force, for peers that can't reach
  // the store.
  std::string config_content_;
  // The servers as last reported by the store or a peer.
  ServerSnapshot server_snapshot_;
  // Since when a peer has had a newer configuration or list of servers.
  std::optional<TimePoint> behind_since_;
  StoreReachability store_reachability_;
  boost::asio::ip::udp::endpoint heartbeat_sender_;
  // Whether a call to a peer is open.
  bool fetching_ = false;
  // Value of is_ready that was last announced.
  bool was_ready_ = false;
  std::array<char, 64U << 10U> receive_buffer_{};
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_GATEWAY_NODE_H_
