// What a node believes and has decided so far, shared by all its requests: the
// configuration in force, the servers, limits, budgets, and the counters.

#ifndef QH_GATEWAY_FORWARDING_GATEWAY_STATE_H_
#define QH_GATEWAY_FORWARDING_GATEWAY_STATE_H_

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "qh_gateway/control/event_log.h"
#include "qh_gateway/control/gateway_settings.h"
#include "qh_gateway/decisions/crash_tracker.h"
#include "qh_gateway/decisions/server_directory.h"
#include "qh_gateway/decisions/server_picker.h"
#include "qh_gateway/decisions/service_retry_budget.h"
#include "qh_gateway/decisions/team_rate_limiter.h"
#include "qh_gateway/decisions/usage_ledger.h"
#include "qh_gateway/decisions/wall_clock.h"
#include "qh_gateway/forwarding/server_connection_pool.h"
#include "qh_gateway/model/wire_codec.h"
#include "qh_metrics/metrics_registry.h"

namespace qh {

struct GatewayState {
  GatewayState(boost::asio::io_context& io_context,
               const WireCodec& wire_codec,
               const GatewaySettings& gateway_settings,
               TimePoint now,
               uint64_t seed);

  // Takes a configuration if it is newer; returns whether it was.
  bool ApplyConfig(ServiceConfigPtr newer, TimePoint now);

  // Nodes that share the deployment's budgets, this one included.
  size_t node_count() const { return peer_count + 1; }

  boost::asio::io_context& io;
  const WireCodec& codec;
  GatewaySettings settings;
  EventLog log;
  MetricsRegistry metrics;

  // Null until one is known; its version never falls.
  ServiceConfigPtr config;
  TimePoint config_since;
  // When the server list was last confirmed by the store or a peer.
  std::optional<TimePoint> servers_confirmed_at;

  ServerDirectory directory;
  ServerPicker picker;
  ServerConnectionPool connection_pool;
  TeamRateLimiter team_budget;
  ServiceRetryBudget retry_budget;
  UsageLedger usage;
  CrashTracker crash_tracker;
  WallClock wall_clock;
  Rng rng;

  size_t peer_count = 0;
  size_t open_requests = 0;
  // Requests whose answer has not left this process whole.
  size_t unfinished_answers = 0;
  // Told when a server will be taken away, by each request that runs there.
  std::map<ServerId, std::map<const void*, std::function<void(Duration)>>>
      server_leaving_listeners;
  // Prompt tokens that engines had to read for this node, by service.
  std::map<std::string, double> prefill_tokens;
  // Set once the process is asked to stop.
  std::optional<TimePoint> draining_since;

 private:
  void OnServerChange(ServerChange change, const ServerRecord& server);
};

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_GATEWAY_STATE_H_
