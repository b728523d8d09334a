#include "qh_gateway/forwarding/gateway_state.h"

#include <boost/asio/post.hpp>

#include "qh_gateway/decisions/limits/descriptor_shares.h"
#include "qh_net/socket_options.h"

namespace qh {
namespace {

// The store drops a registration that was not renewed for three intervals; one
// more covers the time until the node learns of it.
constexpr int kHeartbeatsToExpiry = 4;

// Share of the process's memory for messages in progress. The rest is for the
// process itself and for what the system holds for its sockets.
constexpr double kMessageMemoryShare = 0.5;
constexpr double kBytesPerMegabyte = 1U << 20U;

}  // namespace

GatewayState::GatewayState(boost::asio::io_context& io_context,
                           const WireCodec& wire_codec,
                           const GatewaySettings& gateway_settings,
                           TimePoint now,
                           uint64_t seed)
    : io(io_context),
      codec(wire_codec),
      settings(gateway_settings),
      freshness(
          settings.node.value() + "/" + std::to_string(seed),
          {.config = settings.config_apply, .servers = settings.server_drain}),
      byte_budget(std::make_shared<ByteBudget>(static_cast<uint64_t>(
          kMessageMemoryShare * settings.memory_mb * kBytesPerMegabyte))),
      caller_limiter(MakeLimiter(
          "callers",
          SharesOfDescriptors(MaxOpenFiles(settings.max_open_files)).callers)),
      store_epoch([this](uint64_t epoch, bool restored) {
        if (on_store_epoch) {
          on_store_epoch(epoch, restored);
        }
      }),
      directory(
          [this](ServerChange change, const ServerRecord& server) {
            OnServerChange(change, server);
          },
          kHeartbeatsToExpiry * settings.server_heartbeat),
      picker(directory, settings.failure_domain, seed),
      rollouts(settings.rollout_bounds, directory, seed),
      connection_pool(io, codec),
      waiting(io, log, metrics, seed),
      team_rate_limiter({.window = settings.limit_window,
                         .share = settings.limit_overage,
                         .units = settings.limit_tolerance},
                        now),
      retry_budget({.ratio = settings.retry_ratio,
                    .extra = settings.retry_allowance,
                    .window = settings.retry_window}),
      usage(settings.usage_window),
      crash_tracker([this](CrashTracker::VerdictChange change,
                           const CrashVerdict& verdict) {
        OnCrashVerdict(change, verdict);
      }),
      rng(seed, 1) {}

bool GatewayState::ApplyConfig(ServiceConfigPtr newer, TimePoint now) {
  if (config != nullptr && newer->version() <= config->version()) {
    return false;
  }
  log.Write(LogLine(ToName(GatewayEvent::kConfigInForce))
                .With("version", newer->version())
                .With("before", config == nullptr ? 0 : config->version())
                .With("routes", newer->routes().size())
                .With("teams", newer->teams().size()),
            GatewayEvent::kConfigInForce);
  config = std::move(newer);
  config_since = now;
  team_rate_limiter.SetTeams(config->teams(), now);
  return true;
}

std::optional<TimePoint> GatewayState::StopTime() const {
  if (!draining_since) {
    return std::nullopt;
  }
  return *draining_since + settings.stop_grace - kStopMargin;
}

void GatewayState::TakeReloaded(const GatewaySettings& reloaded) {
  settings.locate_ttl = reloaded.locate_ttl;
  // The platform kills the process after the grace period that was in force
  // when it asked it to stop, and requests were accepted for that period.
  if (!draining_since) {
    settings.stop_grace = reloaded.stop_grace;
  }
}

std::shared_ptr<ConnectionLimiter> GatewayState::MakeLimiter(
    const std::string& listener,
    size_t max_connections) {
  auto limiter = std::make_shared<ConnectionLimiter>(listener, max_connections);
  limiter->on_limited = [this, listener](const LimitedConnection& limited) {
    metrics.Count({.name = "gateway_clients_limited_total",
                   .reason = listener + "/" +
                             std::string(ToName(limited.limit)) +
                             (limited.refused ? "/refused" : "/closed")});
    log.Write(LogLine(ToName(GatewayEvent::kClientLimited))
                  .With("listener", listener)
                  .With("limit", ToName(limited.limit))
                  .With("what", limited.refused ? "refused" : "closed")
                  .With("held_bytes", limited.held)
                  .With("stalled_ms", ToMilliseconds(limited.stalled)),
              GatewayEvent::kClientLimited);
  };
  return limiter;
}

void GatewayState::EndOpenRequests() {
  // Listeners remove themselves.
  const auto listeners = stop_listeners;
  for (const auto& [request, on_stop] : listeners) {
    on_stop();
  }
}

void GatewayState::OnServerAnswer(const ServerProcess& process,
                                  const AnswerTraits& traits) {
  const TimePoint now = MonotonicNow();
  if (traits.leaving) {
    directory.OnLeaving(process, now);
  }
  NoteRateLimit(process, traits);
  if (!traits.pause) {
    return;
  }
  picker.OnPauseAsked(process.id, *traits.pause, now);
  log.Write(LogLine(ToName(GatewayEvent::kServerPaused))
                .With("server", process.id.value())
                .With("asked_ms", ToMilliseconds(*traits.pause)),
            GatewayEvent::kServerPaused);
}

void GatewayState::NoteRateLimit(const ServerProcess& process,
                                 const AnswerTraits& traits) {
  if (traits.has_unreadable_rate_limit) {
    return;
  }
  const TimePoint now = MonotonicNow();
  ServerRateLimits& limits = picker.rate_limits();
  if (limits.OnAnswer(process, traits.rate_limit, now)) {
    LogRateLimit({.process = process, .rate = traits.rate_limit},
                 settings.node.value());
  }
}

void GatewayState::LogRateLimit(const ServerRateLimit& limit,
                                const std::string& from) {
  LogLine line(ToName(GatewayEvent::kServerLimit));
  line.With("server", limit.process.id.value());
  if (limit.rate) {
    line.With("per_second", *limit.rate);
  } else {
    line.With("per_second", "none");
  }
  line.With("from", from)
      .With("age_ms", ToMilliseconds(limit.heard_ago))
      .With("limited", picker.rate_limits().limited_servers());
  log.Write(line, GatewayEvent::kServerLimit);
}

void GatewayState::ReportRateLimitUse(TimePoint now) {
  for (const ServerLimitUse& use : picker.rate_limits().TakeUse(now)) {
    metrics.Count({.name = "gateway_limited_sends_total"}, use.sends);
    metrics.Count({.name = "gateway_limited_passed_over_total"},
                  use.passed_over);
    log.Write(
        LogLine(ToName(GatewayEvent::kServerLimitUse))
            .With("server", use.limit.process.id.value())
            .With("per_second", use.limit.rate.value_or(0))
            .With("share", use.share)
            .With("sends", use.sends)
            .With("passed_over", use.passed_over)
            .With("interval_ms", ToMilliseconds(ServerRateLimits::kUseInterval))
            .With("age_ms", ToMilliseconds(use.limit.heard_ago)),
        GatewayEvent::kServerLimitUse);
  }
}

void GatewayState::OnCrashVerdict(CrashTracker::VerdictChange change,
                                  const CrashVerdict& verdict) {
  const GatewayEvent event = change == CrashTracker::VerdictChange::kAdded
                                 ? GatewayEvent::kFeaturesBlocked
                                 : GatewayEvent::kFeaturesCleared;
  log.Write(LogLine(ToName(event))
                .With("features", ToText(verdict.features))
                .With("crashed_ms_ago",
                      ToMilliseconds(MonotonicNow() - verdict.crashed))
                .With("trials", verdict.trials),
            event);
  if (change == CrashTracker::VerdictChange::kAdded) {
    // Later, because the requests' ends change the tracker.
    boost::asio::post(io, [this] { TellFeaturesBlocked(); });
  }
}

void GatewayState::TellFeaturesBlocked() {
  // Copied because each request that ends removes its listener.
  const auto listeners = features_blocked_listeners;
  for (const auto& [request, on_blocked] : listeners) {
    on_blocked();
  }
}

void GatewayState::OnServerChange(ServerChange change,
                                  const ServerRecord& server) {
  metrics.Count({.name = "gateway_server_changes_total",
                 .reason = std::string(ToName(change))});
  log.Write(
      LogLine(ToName(GatewayEvent::kServerChanged))
          .With("change", ToName(change))
          .With("server", server.id.value())
          .With("service", server.service)
          .With("address", server.address.ToString())
          .With("spot", server.spot)
          .With("leaves_ms",
                server.leaves_in ? ToMilliseconds(*server.leaves_in) : -1.0),
      GatewayEvent::kServerChanged);
  if (change == ServerChange::kAdded || change == ServerChange::kRestarted) {
    rollouts.OnServer(server, servers_listed, MonotonicNow());
  }
  if (change == ServerChange::kGone || change == ServerChange::kRestarted) {
    picker.ResetServer(server.id);
  }
  if (change == ServerChange::kRestarted) {
    picker.rate_limits().OnStarted({server.id, server.started_ms},
                                   MonotonicNow());
  }
  waiting.ServeSoon(server.service);
  if (change == ServerChange::kDraining && (server.leaves_in || server.spot)) {
    // A server that does not announce its end serves for the drain time at
    // least.
    const Duration leaves_in = server.leaves_in.value_or(settings.server_drain);
    // Copied because a listener may end its request, which removes the listener
    // from the map.
    const auto listeners = server_leaving_listeners[server.id];
    for (const auto& [request, on_leaving] : listeners) {
      on_leaving(leaves_in);
    }
  }
  if (change != ServerChange::kAdded && change != ServerChange::kReturned &&
      change != ServerChange::kLapsed) {
    connection_pool.CloseIdle(server.id);
  }
}

}  // namespace qh
