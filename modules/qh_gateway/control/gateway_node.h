// One gateway process: its listeners, its view of the store and of its peers,
// its duties, and its start, reload and stop.

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

class GatewayNode {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  // Kind of the store's objects in which nodes find each other.
  static constexpr const char* kGatewayNodeKind = "gateway-nodes";
  static constexpr Duration kNewsInterval = std::chrono::milliseconds(150);

  // Opens every listener. Fails with kConfigInvalid or kInternal. `reload`
  // reads the settings anew when the process is told to.
  static Result<std::unique_ptr<GatewayNode>> Create(
      boost::asio::io_context& io,
      const WireCodec& codec,
      const GatewaySettings& settings,
      std::function<Result<GatewaySettings>()> reload);
  ~GatewayNode();

  // Starts serving; the caller runs the io_context until it has no work.
  void Start();
  // Begins to leave: no longer named to callers, finishes what is open, then
  // stops the io_context.
  void BeginStop();

  bool is_ready() const;

 private:
  GatewayNode(boost::asio::io_context& io,
              const WireCodec& codec,
              const GatewaySettings& settings,
              std::function<Result<GatewaySettings>()> reload);

  Result<void> Open();
  void WaitForSignals();
  void Accept();
  void Tick();
  void CheckReady();
  void CheckStopped(TimePoint now);

  std::unique_ptr<StoreWatcher> MakeWatcher(const std::string& kind,
                                            StoreWatcher::Hooks hooks);
  Duration WatchWait() const;
  Duration GatherTime() const;
  void OnStoreLost(const std::string& kind, const std::string& why);
  void OnStoreRegained(const std::string& kind);
  void OnConfigObject(const StoredObject& object);
  void OnServerObject(const StoredObject& object);
  std::optional<ServerRecord> ReadServer(const StoredObject& object);
  void OnServerList(const std::vector<StoredObject>& objects);
  void OnNodeObject(const StoredObject& object);
  void Register();

  Duration NewsInterval() const;
  void SendNews(TimePoint now);
  void ReceiveNews();
  void OnNews(const PeerHeartbeat& news);
  void FetchFromPeers(TimePoint now);
  // A peer sent its snapshot of the servers.
  void OnPeerServers(const std::string& encoded);
  void Fetch(const Address& peer,
             const std::string& what,
             std::function<void(const std::string&)> on_body);

  ServiceAnswer AnswerReady(const HttpHead& head) const;
  ServiceAnswer AnswerLocate(const HttpHead& head) const;
  ServiceAnswer AnswerPeer(const HttpHead& head) const;
  ServiceAnswer AnswerMetrics(const HttpHead& head);

  boost::asio::io_context& io_;
  const WireCodec& codec_;
  std::function<Result<GatewaySettings>()> reload_;
  std::string incarnation_;
  TimePoint started_;
  GatewayState state_;
  NodeTable nodes_;
  LeaderTasks leader_tasks_;

  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer register_retry_;
  boost::asio::steady_timer accept_pause_;
  std::optional<TcpAcceptor> callers_;
  std::shared_ptr<HttpService> readiness_;
  std::shared_ptr<HttpService> locate_;
  std::shared_ptr<HttpService> peer_service_;
  std::shared_ptr<HttpService> metrics_service_;
  boost::asio::ip::udp::socket news_;
  uint64_t news_sequence_ = 0;
  TimePoint news_sent_;
  // What each peer reads at servers, by node.
  std::map<std::string, std::map<std::string, double>> peer_reading_;
  // Newest message of each peer process.
  std::map<std::string, uint64_t> peer_sequence_;

  std::unique_ptr<StoreWatcher> config_watch_;
  std::unique_ptr<StoreWatcher> server_watch_;
  std::unique_ptr<StoreWatcher> node_watch_;
  std::shared_ptr<HttpClient> register_client_;
  // The store's content as it came, for peers that can't reach the store.
  std::string config_content_;
  ServerSnapshot servers_;
  // Since when a peer has known something newer.
  std::optional<TimePoint> behind_since_;
  StoreReachability contact_;
  boost::asio::ip::udp::endpoint news_from_;
  bool fetching_ = false;
  bool was_ready_ = false;
  std::array<char, 64U << 10U> news_in_{};
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_GATEWAY_NODE_H_
