#include "qh_gateway/control/gateway_node.h"

#include <csignal>
#include <random>

#include "qh_core/hash/hash.h"
#include "qh_core/log/stdout_log.h"
#include "qh_gateway/decisions/limits/descriptor_shares.h"
#include "qh_gateway/forwarding/caller_connection.h"

namespace qh {
namespace {

// Callers may use the answer of locate for its whole TTL. A stopping node
// serves this much longer than that, so that no caller reaches a stopped node.
// A longer time would only withhold capacity while nodes are stopped one after
// the other.
constexpr Duration kLocateTtlSlack = std::chrono::milliseconds(700);
// What requests and answers of one listener other than the callers' may hold:
// at least a head and an answer of the largest size, and otherwise this part of
// what callers may hold. Each has its own, so that none can keep out another.
constexpr uint64_t kMinListenerBytes = uint64_t{1} << 20U;
constexpr uint64_t kListenerBytesDivisor = 16;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kNotReady = 503;

// Returns 16 random hexadecimal digits.
std::string RandomIncarnation() {
  std::random_device device;
  const uint64_t high = device();
  const uint64_t low = device();
  return HashHex128(std::to_string(high) + "." + std::to_string(low) + "." +
                    std::to_string(BootNow().time_since_epoch().count()))
      .substr(0, 16);
}

}  // namespace

Result<std::unique_ptr<GatewayNode>> GatewayNode::Create(
    boost::asio::io_context& io,
    const WireCodec& codec,
    const GatewaySettings& settings,
    std::function<Result<GatewaySettings>()> reload) {
  std::unique_ptr<GatewayNode> node(
      new GatewayNode(io, codec, settings, std::move(reload)));
  BOOST_OUTCOME_TRYV(node->Open());
  return node;
}

GatewayNode::GatewayNode(boost::asio::io_context& io,
                         const WireCodec& codec,
                         const GatewaySettings& settings,
                         std::function<Result<GatewaySettings>()> reload)
    : io_(io),
      codec_(codec),
      reload_(std::move(reload)),
      incarnation_(RandomIncarnation()),
      started_at_(MonotonicNow()),
      state_(io, codec, settings, started_at_, Hash64(incarnation_)),
      leader_tasks_(state_, incarnation_, Hash64(incarnation_, 1)),
      peers_(io,
             state_,
             leader_tasks_,
             incarnation_,
             started_at_,
             {.describe_node =
                  [this](PeerHeartbeat& heartbeat) { DescribeNode(heartbeat); },
              .on_heartbeat =
                  [this](const PeerHeartbeat& heartbeat) {
                    OnHeartbeat(heartbeat);
                  }}),
      verdict_archive_(state_, kGatewayNodeKind),
      deployment_record_(state_),
      rollout_control_(state_),
      register_connection_(io,
                           settings.store_address,
                           codec.store,
                           state_.store_epoch,
                           state_.byte_budget),
      signals_(io, SIGTERM, SIGINT, SIGHUP),
      tick_timer_(io),
      register_timer_(io),
      accept_timer_(io),
      server_copy_check_(Hash64(incarnation_, 2)),
      fetcher_(io, state_.log, state_.byte_budget) {
  state_.on_store_epoch = [this](uint64_t epoch, bool restored) {
    OnStoreEpoch(epoch, restored);
  };
}

GatewayNode::~GatewayNode() = default;

Result<void> GatewayNode::Open() {
  const GatewaySettings& settings = state_.settings;
  BOOST_OUTCOME_TRY(callers, Listen(io_, settings.caller_address));
  caller_acceptor_ = std::move(callers);
  const DescriptorShares shares =
      SharesOfDescriptors(MaxOpenFiles(settings.max_open_files));
  const auto serve = [&](const char* listener, size_t connections,
                         const Address& address, HttpService::Hook answer) {
    return HttpService::Start(
        io_, address, std::move(answer),
        std::make_shared<ByteBudget>(
            std::max(kMinListenerBytes,
                     state_.byte_budget->limit() / kListenerBytesDivisor)),
        state_.MakeLimiter(listener, connections));
  };
  BOOST_OUTCOME_TRY(
      readiness,
      serve("readiness", shares.readiness, settings.readiness_address,
            [this](const HttpHead& head) { return AnswerReady(head); }));
  readiness_service_ = readiness;
  BOOST_OUTCOME_TRY(
      locate,
      serve("locate", shares.locate, settings.locate_address,
            [this](const HttpHead& head) { return AnswerLocate(head); }));
  locate_service_ = locate;
  BOOST_OUTCOME_TRY(
      peers, serve("peers", shares.peers, settings.peer_address,
                   [this](const HttpHead& head) { return AnswerPeer(head); }));
  peer_service_ = peers;
  if (settings.metrics_address) {
    BOOST_OUTCOME_TRY(
        metrics,
        serve("metrics", shares.metrics, *settings.metrics_address,
              [this](const HttpHead& head) { return AnswerMetrics(head); }));
    metrics_service_ = metrics;
  }
  return peers_.Open(settings.peer_address);
}

void GatewayNode::Start() {
  const GatewaySettings& settings = state_.settings;
  state_.log.Write(LogLine(ToName(GatewayEvent::kStarted))
                       .With("node", settings.node.value())
                       .With("incarnation", incarnation_)
                       .With("domain", settings.failure_domain.value())
                       .With("callers", settings.caller_address.ToString()),
                   GatewayEvent::kStarted);
  config_watcher_ =
      MakeWatcher(codec_.config_kind,
                  {.on_update =
                       [this](const StoreUpdate& update) {
                         for (const StoredObject& object : update.objects) {
                           OnConfigObject(object);
                         }
                         return update.version;
                       },
                   .on_confirmed =
                       [this](TimePoint sent_at) {
                         OnStoreConfirmed(StateKind::kConfig, sent_at);
                       }});
  server_watcher_ = MakeWatcher(
      codec_.server_kind, {.on_update =
                               [this](const StoreUpdate& update) {
                                 OnServers(update);
                                 return server_mirror_.version();
                               },
                           .on_confirmed =
                               [this](TimePoint sent_at) {
                                 OnStoreConfirmed(StateKind::kServers, sent_at);
                               }});
  node_watcher_ =
      MakeWatcher(kGatewayNodeKind, {.on_update =
                                         [this](const StoreUpdate& update) {
                                           OnNodes(update);
                                           return node_mirror_.version();
                                         },
                                     .on_confirmed = [](TimePoint) {},
                                     .list_may_be_old = true});
  if (settings.rollout_bounds) {
    rollout_watcher_ = MakeWatcher(codec_.rollout_kind,
                                   {.on_update =
                                        [this](const StoreUpdate& update) {
                                          rollout_control_.OnUpdate(update);
                                          return update.version;
                                        },
                                    .on_confirmed = [](TimePoint) {}});
  }
  // The other nodes come first: they decide whether this one follows the store.
  node_watcher_->Start();
  deployment_record_.Start();
  RegisterNode();
  WaitForSignals();
  Accept();
  peers_.Start();
  Tick();
}

void GatewayNode::WaitForSignals() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          auto settings = reload_();
          LogLine line(ToName(GatewayEvent::kSettingsReloaded));
          if (settings) {
            state_.TakeReloaded(settings.value());
            line.With("outcome", "taken");
          } else {
            line.With("outcome", "rejected, current settings kept")
                .With(settings.error());
          }
          state_.log.Write(line, GatewayEvent::kSettingsReloaded);
        } else {
          BeginStop();
        }
        WaitForSignals();
      });
}

void GatewayNode::Accept() {
  caller_acceptor_->async_accept([this](const boost::system::error_code& error,
                                        TcpSocket socket) {
    if (!caller_acceptor_->is_open()) {
      return;
    }
    if (!error) {
      CallerConnection::Serve(state_, std::move(socket));
      Accept();
      return;
    }
    state_.log.Write(LogLine(ToName(GatewayEvent::kDependencyLost))
                         .With("dependency", "descriptors")
                         .With("why", error.message()),
                     GatewayEvent::kDependencyLost);
    accept_timer_.expires_after(kTickInterval);
    accept_timer_.async_wait([this](const boost::system::error_code& stopped) {
      if (!stopped) {
        Accept();
      }
    });
  });
}

void GatewayNode::Tick() {
  // Armed first, so that an unexpected error does not end the periodic work.
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
  const TimePoint now = MonotonicNow();
  state_.wall_clock.OnLocalTime(WallNow(), now);
  state_.log.OnTick(now);
  state_.directory.OnTick(store_reachability_.KeepsMissingServers(now), now);
  state_.picker.OnTick(now);
  state_.waiting.OnTick(now);
  state_.ReportRateLimitUse(now);
  state_.connection_pool.OnTick(now);
  state_.crash_tracker.OnTick(now);
  peers_.OnTick(now, FollowsStore());
  UpdateRole(now);
  CheckOpenWatches();
  ReadDoubtfulServers(now);
  FetchNewerState(now);
  verdict_archive_.OnTick(now, FollowsStore());
  deployment_record_.OnTick(now, WritesRecord(now));
  leader_tasks_.OnTick(now, BootNow(), peers_.nodes().UnresponsiveCount(now),
                       following_);
  state_.is_leader = leader_tasks_.is_leader();
  if (state_.rollouts.enabled()) {
    rollout_control_.OnTick(state_.node_count(),
                            leader_tasks_.MayAct() && FollowsStore(),
                            now - started_at_, now);
  }
  ReportAgedState();
  UpdateReadiness();
  FlushLog();
  StopWhenDrained(now);
}

bool GatewayNode::is_ready() const {
  return state_.config != nullptr && state_.servers_listed &&
         !state_.draining_since;
}

void GatewayNode::UpdateReadiness() {
  if (is_ready() == was_ready_) {
    return;
  }
  was_ready_ = is_ready();
  const GatewayEvent event =
      was_ready_ ? GatewayEvent::kReady : GatewayEvent::kNotReady;
  state_.log.Write(
      LogLine(ToName(event))
          .With("config", ConfigVersion())
          .With("servers", state_.directory.All().size())
          .With("servers_revision", server_mirror_.version().revision),
      event);
  peers_.SendHeartbeats(MonotonicNow());
}

void GatewayNode::ReportAgedState() {
  const TimePoint now = BootNow();
  for (const StateKind kind : state_.freshness.TakeAged(now)) {
    const auto& last = state_.freshness.Last(kind);
    state_.log.Write(
        LogLine(ToName(GatewayEvent::kStateAged))
            .With("kind", ToName(kind))
            .With("age_ms", ToMilliseconds(now - last->at))
            .With("confirmed_by", last->origin)
            .With("bound_ms", ToMilliseconds(state_.freshness.Bound(kind))),
        GatewayEvent::kStateAged);
  }
}

void GatewayNode::BeginStop() {
  if (state_.draining_since) {
    return;
  }
  state_.draining_since = MonotonicNow();
  state_.log.Write(LogLine(ToName(GatewayEvent::kStopping))
                       .With("open_requests", state_.open_requests),
                   GatewayEvent::kStopping);
  UpdateReadiness();
}

void GatewayNode::StopWhenDrained(TimePoint now) {
  if (!state_.draining_since) {
    return;
  }
  const Duration stopping = now - *state_.draining_since;
  const bool drained = state_.unfinished_answers == 0 &&
                       stopping >= state_.settings.locate_ttl + kLocateTtlSlack;
  const TimePoint stop_time = *state_.StopTime();
  if (!drained && now < stop_time) {
    return;
  }
  state_.EndOpenRequests();
  const bool answers_left = state_.unfinished_answers > 0 &&
                            now < stop_time + GatewayState::kLastAnswersTime;
  if (answers_left) {
    return;
  }
  state_.log.Write(LogLine(ToName(GatewayEvent::kStopped))
                       .With("open_requests", state_.open_requests)
                       .With("after_ms", ToMilliseconds(stopping)),
                   GatewayEvent::kStopped);
  FlushLog();
  for (StoreWatcher* watcher : Watchers()) {
    watcher->Stop();
  }
  rollout_control_.Stop();
  leader_tasks_.Stop();
  verdict_archive_.Stop();
  deployment_record_.Stop();
  io_.stop();
}

ServiceAnswer GatewayNode::AnswerReady(const HttpHead& head) const {
  if (!codec_.is_ready_check(head)) {
    return {.status = kNotFound};
  }
  return {.status = is_ready() ? kOk : kNotReady};
}

ServiceAnswer GatewayNode::AnswerLocate(const HttpHead& head) const {
  const auto query = codec_.read_locate(head);
  if (!query) {
    return {.status = kNotFound};
  }
  const auto self =
      is_ready() ? std::optional(state_.settings.caller_address) : std::nullopt;
  const TimePoint now = MonotonicNow();
  const auto usable = peers_.nodes().Usable(
      self, query.value().failure_domain, store_reachability_.answered(), now);
  if (usable.empty()) {
    return {.status = kNotReady};
  }
  return {.body = codec_.write_locate(usable, state_.settings.locate_ttl)};
}

}  // namespace qh
