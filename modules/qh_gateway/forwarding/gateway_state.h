// The state of a gateway node that all its requests share: the configuration in
// force, the known servers, connections, limits, budgets and counters.

#ifndef QH_GATEWAY_FORWARDING_GATEWAY_STATE_H_
#define QH_GATEWAY_FORWARDING_GATEWAY_STATE_H_

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "qh_gateway/control/event_log.h"
#include "qh_gateway/control/gateway_settings.h"
#include "qh_gateway/decisions/crash/crash_tracker.h"
#include "qh_gateway/decisions/limits/service_retry_budget.h"
#include "qh_gateway/decisions/limits/team_rate_limiter.h"
#include "qh_gateway/decisions/nodes/deployment_size.h"
#include "qh_gateway/decisions/nodes/wall_clock.h"
#include "qh_gateway/decisions/placement/server_picker.h"
#include "qh_gateway/decisions/rollout/rollout_book.h"
#include "qh_gateway/decisions/servers/server_directory.h"
#include "qh_gateway/decisions/store/state_freshness.h"
#include "qh_gateway/decisions/store/store_epoch.h"
#include "qh_gateway/decisions/usage/usage_ledger.h"
#include "qh_gateway/forwarding/server_connection_pool.h"
#include "qh_gateway/forwarding/waiting_requests.h"
#include "qh_gateway/model/wire_codec.h"
#include "qh_metrics/metrics_registry.h"
#include "qh_net/byte_budget.h"
#include "qh_net/connection_limiter.h"

namespace qh {

// Not thread-safe; used on the thread of the io_context only.
struct GatewayState {
  // A stopping node ends this long before the grace period is over and the
  // process is killed.
  static constexpr Duration kStopMargin = std::chrono::milliseconds(500);
  // Part of that margin in which the last answers are written.
  static constexpr Duration kLastAnswersTime = std::chrono::milliseconds(150);

  GatewayState(boost::asio::io_context& io_context,
               const WireCodec& wire_codec,
               const GatewaySettings& gateway_settings,
               TimePoint now,
               uint64_t seed);

  // Puts `newer` in force if its version is higher than the current one.
  // Returns whether it did.
  bool ApplyConfig(ServiceConfigPtr newer, TimePoint now);

  // A server's answer arrived: notes what the server says of itself.
  void OnServerAnswer(const ServerProcess& process, const AnswerTraits& traits);

  // Logs what became known of a server's rate limit, by the word of `from`.
  void LogRateLimit(const ServerRateLimit& limit, const std::string& from);
  // Logs and counts what this node sent to servers with rate limits.
  void ReportRateLimitUse(TimePoint now);

  // Returns a limiter for `listener` that logs and counts what it closes.
  std::shared_ptr<ConnectionLimiter> MakeLimiter(const std::string& listener,
                                                 size_t max_connections);

  // Takes over what a reloaded settings file may change.
  void TakeReloaded(const GatewaySettings& reloaded);

  // When this node stops to wait for answers and ends, after kLastAnswersTime
  // at the latest; nothing while it isn't draining.
  std::optional<TimePoint> StopTime() const;
  // Answers the requests that are still open, because this node ends.
  void EndOpenRequests();

  // Number of known nodes, including this one.
  size_t node_count() const { return peer_count + 1; }
  // Number of nodes that share the deployment's budgets, including this one.
  size_t budget_nodes() const {
    return peers_known ? node_count() : DeploymentSize::Assumed(recorded_nodes);
  }

  boost::asio::io_context& io;
  const WireCodec& codec;
  GatewaySettings settings;
  EventLog log;
  MetricsRegistry metrics;

  // Null until the first one is received; its version never decreases.
  ServiceConfigPtr config;
  TimePoint config_since;
  // Whether the store or a peer has listed the servers.
  bool servers_listed = false;
  // How current the configuration and the server list are.
  StateFreshness freshness;

  // Bounds what is held for messages in progress. Shared with connections that
  // may outlive this.
  std::shared_ptr<ByteBudget> byte_budget;

  // The callers' connections.
  std::shared_ptr<ConnectionLimiter> caller_limiter;

  StoreEpoch store_epoch;
  // Called when the store's epoch becomes known or rises, and with whether the
  // store was restored from an older copy.
  std::function<void(uint64_t epoch, bool restored)> on_store_epoch;
  ServerDirectory directory;
  ServerPicker picker;
  RolloutBook rollouts;
  ServerConnectionPool connection_pool;
  // Requests that wait for room at servers.
  WaitingRequests waiting;
  TeamRateLimiter team_rate_limiter;
  ServiceRetryBudget retry_budget;
  UsageLedger usage;
  CrashTracker crash_tracker;
  WallClock wall_clock;
  Rng rng;

  // Whether this node holds the lease of the leader.
  bool is_leader = false;
  // Whether peer_count counts all peers. A node without peers sets neither.
  bool peers_known = true;
  size_t peer_count = 0;
  // Nodes that the deployment had shortly before this process started; nothing
  // if no record tells.
  std::optional<size_t> recorded_nodes;
  // Requests that were started and are not finished.
  size_t open_requests = 0;
  // Callers' connections with a request of which some bytes have arrived and
  // whose answer is not completely written to the caller's socket.
  size_t unfinished_answers = 0;
  // Called with the time left when a server starts to drain before it is
  // reclaimed. By server, then by the request that runs there.
  std::map<ServerId, std::map<const void*, std::function<void(Duration)>>>
      server_leaving_listeners;
  // Called when features were blocked, so that requests with them are taken
  // back. Holds the requests that were sent to a server and whose answer has
  // not begun, by their address.
  std::map<const void*, std::function<void()>> features_blocked_listeners;
  // Called when this node ends. Holds the requests that are open, by their
  // address.
  std::map<const void*, std::function<void()>> stop_listeners;
  // Prompt tokens not expected in an engine's prefix cache, summed over all
  // attempts of this node, by service.
  std::map<std::string, double> prefill_tokens;
  // Requests that this node sent to servers, by service.
  std::map<std::string, double> sends;
  // When the process was asked to stop; nothing before that.
  std::optional<TimePoint> draining_since;

 private:
  // Notes the rate limit that an answer names, or that it names none.
  void NoteRateLimit(const ServerProcess& process, const AnswerTraits& traits);
  void OnCrashVerdict(CrashTracker::VerdictChange change,
                      const CrashVerdict& verdict);
  // Calls features_blocked_listeners.
  void TellFeaturesBlocked();
  void OnServerChange(ServerChange change, const ServerRecord& server);
};

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_GATEWAY_STATE_H_
