// The part of Exchange that picks a server, connects to it and sends the
// request.

#include <algorithm>

#include "qh_gateway/forwarding/exchange.h"

namespace qh {
namespace {

// Failed connection attempts after which a request is refused.
constexpr uint32_t kMaxConnectFailures = 3;
// A retryable request is retried at another server if its answer has not begun
// after the larger of these multiples of the route's latency target and of the
// time that the picker expected.
constexpr int kFirstByteTimeoutFactor = 2;
constexpr int kExpectedTimeFactor = 4;
// Priorities sent to engines are 0 (most urgent) to 9.
constexpr int kMaxPriority = 9;
// Lower bound on the connections of a node to one server; fewer would limit its
// throughput.
constexpr size_t kMinConnections = 8;

}  // namespace

int Exchange::Priority() const {
  return team_ != nullptr && team_->priority ? *team_->priority
                                             : route_->priority;
}

size_t Exchange::MaxConnections() const {
  return std::max(kMinConnections,
                  service_->max_connections / state_.node_count());
}

Result<ServerPick> Exchange::Choose(TimePoint now) {
  Result<ServerPick> pick =
      Error(ErrorKind::kNoServer, "the rollout of " + service_->name +
                                      " allows no server at present");
  for (ServerFilter& eligible : state_.rollouts.Eligible(
           service_->name, route_->name, rollout_attempt_, forwarding_, now)) {
    pick = state_.picker.Choose(
        {.route = route_,
         .service = service_,
         .request = &request_,
         .tried_servers = tried_servers_,
         .eligible = std::move(eligible),
         .time_left = TimeLeft(now),
         .priority = Urgency(),
         .first_attempt = attempts_ == 0,
         .service_gap_target = config_->ShortestGapTarget(service_->name),
         .promoted = admission_class_.promoted,
         .hold_per_slot = HoldPerSlot()},
        now);
    if (pick) {
      break;
    }
  }
  return pick;
}

ResponseTime Exchange::CurrentTime(TimePoint now) const {
  const Duration taken = now - attempt_started_;
  ResponseTime time{.first_byte = time_to_first_byte_.value_or(taken),
                    .expected = pick_->expected_ttfb};
  if (is_stream() && time_to_first_byte_ && event_splitter_.events() > 1) {
    time.gap = (taken - *time_to_first_byte_) /
               static_cast<int64_t>(event_splitter_.events() - 1);
  }
  return time;
}

void Exchange::StartAttempt() {
  const TimePoint now = MonotonicNow();
  if (TimeLeft(now) < kMinAttemptTime) {
    OnDeadline();
    return;
  }
  if (WaitBehindOthers(now)) {
    return;
  }
  const auto pick = Choose(now);
  if (!pick) {
    if (WaitForRoom(pick.error(), now)) {
      return;
    }
    Error error = WithScheduledReturn(pick.error(), now);
    if (error.kind() == ErrorKind::kNoServer) {
      error = error.WithRetryAfter(kNoServerRetryAfter);
    }
    AnswerWithError(error);
    return;
  }
  Connect(pick.value(), now);
}

void Exchange::Connect(const ServerPick& pick, TimePoint now) {
  admitted_ = true;
  const ServerRecord* server = state_.directory.Find(pick.server);
  state_.connection_pool.Acquire(
      *server, !route_->retryable(), MaxConnections(), now,
      [self = shared_from_this(), pick](const ServerConnectionPtr& connection) {
        self->OnConnectionReady(pick, connection);
      });
}

void Exchange::OnConnectionReady(const ServerPick& pick,
                                 const ServerConnectionPtr& connection) {
  const TimePoint now = MonotonicNow();
  if (finished_) {
    if (connection != nullptr) {
      state_.connection_pool.Release(connection, now);
    }
    return;
  }
  if (connection != nullptr) {
    const ServerRecord* server = state_.directory.Find(pick.server);
    const bool left = server == nullptr || server->draining;
    if (left || state_.picker.IsPaused(pick.server, now)) {
      // The server left, or asked for a pause, while the node connected to it.
      state_.connection_pool.Release(connection, now);
      if (left) {
        state_.connection_pool.CloseIdle(pick.server);
      }
      tried_servers_.insert(pick.server);
      StartAttempt();
      return;
    }
    SendAttempt(pick, connection);
    return;
  }
  OnUnreachable(pick);
  if (++connect_failures_ >= kMaxConnectFailures) {
    AnswerWithError(Error(ErrorKind::kNoServer,
                          "can't connect to the servers that were tried")
                        .WithRetryAfter(kNoServerRetryAfter));
    return;
  }
  StartAttempt();
}

void Exchange::OnUnreachable(const ServerPick& pick) {
  tried_servers_.insert(pick.server);
  const bool ejected = state_.picker.OnUnreachable(pick.server, MonotonicNow());
  state_.log.Write(LogLine(ToName(GatewayEvent::kAttemptFailed))
                       .With("request", request_.id)
                       .With("server", pick.server.value())
                       .With("end", ToName(AttemptOutcome::kUnreachable))
                       .With("aside", ejected),
                   GatewayEvent::kAttemptFailed);
}

void Exchange::SendAttempt(const ServerPick& pick,
                           const ServerConnectionPtr& connection) {
  const TimePoint now = MonotonicNow();
  if (TimeLeft(now) < kMinAttemptTime) {
    state_.connection_pool.Release(connection, now);
    OnDeadline();
    return;
  }
  if (!MaySend()) {
    state_.connection_pool.Release(connection, now);
    RefuseSend();
    return;
  }
  if (!TakeServerPermit(pick.server)) {
    // Other requests took the last one while the node connected.
    state_.connection_pool.Release(connection, now);
    tried_servers_.insert(pick.server);
    StartAttempt();
    return;
  }
  const ServerRecord* server = state_.directory.Find(pick.server);
  auto rollout_attempt = state_.rollouts.TakeSend(
      service_->name, server == nullptr ? std::string() : server->version,
      route_->name, attempts_ == 0, now);
  if (!rollout_attempt) {
    // A rollout moved on while the node connected.
    state_.connection_pool.Release(connection, now);
    tried_servers_.insert(pick.server);
    StartAttempt();
    return;
  }
  rollout_attempt_ = std::move(rollout_attempt);
  permitted_server_.reset();
  if (pick_ && pick_->server != pick.server) {
    // It was the notice of the server before.
    notice_.reset();
  }
  pick_ = pick;
  process_ = {pick.server, server == nullptr ? 0 : server->started_ms};
  server_address_ = connection->address();
  connection_ = connection;
  attempt_started_ = now;
  time_to_first_byte_.reset();
  has_answer_head_ = false;
  sound_noted_ = false;
  evidence_ = {};
  ++attempt_number_;
  ++attempts_;
  tried_servers_.insert(pick.server);
  may_have_run_ = true;
  state_.picker.OnSent(pick, request_);
  OnAdmitted(now);
  state_.prefill_tokens[service_->name] += pick.prefill_tokens;
  state_.sends[service_->name] += 1;
  state_.server_leaving_listeners[pick.server][this] =
      [weak = weak_from_this()](Duration leaves_in) {
        if (const auto self = weak.lock()) {
          self->OnServerLeaving(leaves_in);
        }
      };
  state_.features_blocked_listeners[this] = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnFeaturesBlocked();
    }
  };
  ServerDispatch dispatch{
      .server_id = pick.server.value(),
      .team = team_ == nullptr ? std::string() : team_->id.value(),
      .time_left = TimeLeft(now),
      .last_event_id = event_splitter_.last_id().empty()
                           ? request_.last_event_id
                           : event_splitter_.last_id(),
      .migration_handle = std::exchange(migrated_kv_handle_, {})};
  if (service_->engine) {
    dispatch.priority = std::clamp(Urgency(), 0, kMaxPriority);
  }
  const auto weak = weak_from_this();
  connection->SendRequest(
      state_.codec.write_dispatch(request_, dispatch), request_.id,
      {.on_head =
           [weak](const HttpHead& head, const AnswerTraits& traits) {
             if (const auto self = weak.lock()) {
               self->OnHead(head, traits);
             }
           },
       .on_body =
           [weak](const std::string& bytes) {
             if (const auto self = weak.lock()) {
               self->OnBody(bytes);
             }
           },
       .on_end =
           [weak](const Result<AnswerEnd>& result) {
             if (const auto self = weak.lock()) {
               self->OnEnd(result);
             }
           }});
  ArmStallTimer(
      std::max<Duration>(kFirstByteTimeoutFactor * route_->latency_target,
                         kExpectedTimeFactor * pick.expected_ttfb));
}

bool Exchange::TakeServerPermit(const ServerId& server) {
  return permitted_server_ == server ||
         state_.picker.rate_limits().TakePermit(server, MonotonicNow());
}

}  // namespace qh
