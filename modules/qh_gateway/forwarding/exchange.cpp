#include "qh_gateway/forwarding/exchange.h"

#include <algorithm>

#include "qh_core/hash/hash.h"
#include "qh_gateway/forwarding/answer_serialization.h"
#include "qh_gateway/forwarding/crash_probe.h"

namespace qh {
namespace {

// Connections that may fail before a request is refused.
constexpr uint32_t kMostConnectFailures = 3;
// A retryable request is taken to another server when its first part is this
// many times later than asked for, or than expected.
constexpr int kLateFirstPart = 2;
constexpr int kLateExpected = 4;
// The same for the pause between two events.
constexpr int kLateEvent = 2;
// Below this much time left nothing is sent any more.
constexpr auto kLeastSendTime = std::chrono::milliseconds(15);
constexpr auto kLeastRetryAfter = std::chrono::milliseconds(50);
constexpr auto kNoServerRetryAfter = std::chrono::milliseconds(400);
constexpr int kHighestPriority = 9;
// Fewer connections per node and server than this hold work up.
constexpr size_t kLeastConnections = 8;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

std::shared_ptr<Exchange> Exchange::Create(GatewayState& state,
                                           CallerRequest request,
                                           TimePoint received,
                                           Caller caller) {
  return std::shared_ptr<Exchange>(
      new Exchange(state, std::move(request), received, std::move(caller)));
}

Exchange::Exchange(GatewayState& state,
                   CallerRequest request,
                   TimePoint received,
                   Caller caller)
    : state_(state),
      request_(std::move(request)),
      received_(received),
      caller_(std::move(caller)),
      deadline_timer_(state.io),
      watchdog_(state.io),
      config_(state.config),
      move_timer_(state.io) {}

Duration Exchange::TimeLeft(TimePoint now) const {
  return ends_at_ - now;
}

size_t Exchange::MostConnections() const {
  return std::max(kLeastConnections,
                  service_->max_connections / state_.node_count());
}

void Exchange::Start() {
  ++state_.open_requests;
  if (!FindRoute() || !CheckTeam() || !CheckContent() || !TakeUnits()) {
    return;
  }
  state_.retry_budget.OnRequest(service_->name, MonotonicNow());
  deadline_timer_.expires_after(TimeLeft(MonotonicNow()));
  deadline_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->finished_) {
          self->OnDeadline();
        }
      });
  TrySend();
}

void Exchange::TrySend() {
  const TimePoint now = MonotonicNow();
  if (TimeLeft(now) < kLeastSendTime) {
    OnDeadline();
    return;
  }
  const auto pick = state_.picker.Choose({.route = route_,
                                          .service = service_,
                                          .request = &request_,
                                          .tried_servers = tried_,
                                          .time_left = TimeLeft(now),
                                          .first_attempt = sends_ == 0},
                                         now);
  if (!pick) {
    Error error = pick.error();
    if (error.kind() == ErrorKind::kNoServer) {
      error = error.WithRetryAfter(kNoServerRetryAfter);
    }
    Answer(error);
    return;
  }
  const ServerRecord* server = state_.directory.Find(pick.value().server);
  state_.connection_pool.Acquire(
      *server, !route_->retryable(), MostConnections(), now,
      [self = shared_from_this(),
       pick = pick.value()](const ServerConnectionPtr& connection) {
        self->OnConnection(pick, connection);
      });
}

void Exchange::OnConnection(const ServerPick& pick,
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
    if (server == nullptr || server->draining) {
      // It left while the connection was made.
      state_.connection_pool.Release(connection, now);
      state_.connection_pool.Drop(pick.server);
      tried_.insert(pick.server);
      TrySend();
      return;
    }
    Send(pick, connection);
    return;
  }
  tried_.insert(pick.server);
  const bool aside = state_.picker.OnUnreachable(pick.server, now);
  state_.log.Write(LogLine(ToName(GatewayEvent::kAttemptFailed))
                       .With("request", request_.id)
                       .With("server", pick.server.value())
                       .With("end", ToName(AttemptOutcome::kUnreachable))
                       .With("aside", aside),
                   GatewayEvent::kAttemptFailed);
  if (++connect_failures_ >= kMostConnectFailures) {
    Answer(Error(ErrorKind::kNoServer, "servers can't be reached")
               .WithRetryAfter(kNoServerRetryAfter));
    return;
  }
  TrySend();
}

void Exchange::Send(const ServerPick& pick,
                    const ServerConnectionPtr& connection) {
  const TimePoint now = MonotonicNow();
  if (TimeLeft(now) < kLeastSendTime) {
    state_.connection_pool.Release(connection, now);
    OnDeadline();
    return;
  }
  pick_ = pick;
  connection_ = connection;
  sent_at_ = now;
  first_part_.reset();
  has_head_ = false;
  ++sends_;
  tried_.insert(pick.server);
  may_have_run_ = true;
  state_.picker.OnSent(pick, request_);
  state_.prefill_tokens[service_->name] += pick.prefill_tokens;
  const int priority =
      team_ != nullptr && team_->priority ? *team_->priority : route_->priority;
  state_.server_leaving_listeners[pick.server][this] =
      [weak = weak_from_this()](Duration leaves_in) {
        if (const auto self = weak.lock()) {
          self->OnServerLeaving(leaves_in);
        }
      };
  ServerDispatch dispatch{
      .server_id = pick.server.value(),
      .team = team_ == nullptr ? std::string() : team_->id.value(),
      .time_left = TimeLeft(now),
      .last_event_id = events_.last_id().empty() ? request_.last_event_id
                                                 : events_.last_id(),
      .migration_handle = std::exchange(moved_run_, {})};
  if (service_->engine) {
    dispatch.priority = std::clamp(priority, 0, kHighestPriority);
  }
  const auto weak = weak_from_this();
  connection->Send(
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
           [weak](const Result<void>& result) {
             if (const auto self = weak.lock()) {
               self->OnEnd(result);
             }
           }});
  ArmWatchdog(std::max<Duration>(kLateFirstPart * route_->latency_target,
                                 kLateExpected * pick.expected_ttfb));
}

// Only requests that may be sent again are watched: for others another server
// is no way out.
void Exchange::ArmWatchdog(Duration limit) {
  if (!route_->retryable() || sends_ >= route_->max_attempts) {
    watchdog_.cancel();
    return;
  }
  watchdog_.expires_after(limit);
  watchdog_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->finished_) {
          self->OnWatchdog();
        }
      });
}

void Exchange::OnWatchdog() {
  if (connection_ == nullptr || !MaySendAgain()) {
    return;
  }
  connection_->Close();
  OnAttemptEnded(AttemptOutcome::kUnresponsive,
                 "no part of the answer in time");
}

void Exchange::OnDeadline() {
  if (connection_ != nullptr) {
    connection_->Close();
    ReleaseServer(AttemptOutcome::kAbandoned);
  }
  if (passing_) {
    Cut("time is up");
    return;
  }
  Answer(may_have_run_
             ? Error(ErrorKind::kServerTimeout, "no answer in time")
             : Error(ErrorKind::kDeadlineUnreachable, "not sent in time"));
}

bool Exchange::streaming_answer() const {
  return is_stream() && IsSuccess(head_.status);
}

void Exchange::OnHead(const HttpHead& head, const AnswerTraits& traits) {
  head_ = head;
  has_head_ = true;
  buffered_.clear();
  if (traits.encoded) {
    connection_->Close();
    OnAttemptEnded(AttemptOutcome::kBroken, "encoded answer");
    return;
  }
  if (traits.not_executed) {
    // A rejection: this server has not run it, and never will.
    if (sends_ == 1) {
      may_have_run_ = false;
    }
    const bool wrong = traits.wrong_server;
    connection_->Close();
    if (wrong) {
      --sends_;
    }
    OnAttemptEnded(
        AttemptOutcome::kRejected,
        wrong ? "another server has the address"
              : "server rejected with " + std::to_string(traits.status));
    return;
  }
  if (!streaming_answer()) {
    NotePartRead();
  }
}

// The first part of the answer is here: the server has begun to run it.
void Exchange::NotePartRead() {
  if (first_part_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  first_part_ = now - sent_at_;
  state_.picker.OnResponseStarted(*pick_, service_->name,
                                  service_->engine.has_value(), *first_part_);
  if (!counted_ && team_ != nullptr) {
    counted_ = true;
    const TimePoint began = service_->engine ? now : sent_at_;
    state_.usage.Count(team_->id, state_.wall_clock.Now(began));
  }
}

void Exchange::OnBody(const std::string& bytes) {
  if (!streaming_answer()) {
    buffered_ += bytes;
    return;
  }
  const std::string whole = events_.Feed(bytes);
  if (whole.empty()) {
    return;
  }
  NotePartRead();
  PassEvents(whole);
  ArmWatchdog(kLateEvent * route_->event_gap_target);
}

void Exchange::OnEnd(const Result<void>& result) {
  const bool whole = result && !events_.has_partial();
  if (destination_ && !whole) {
    // The server stopped the run because it was asked to, or went too early.
    ReleaseServer(AttemptOutcome::kAbandoned);
    source_ended_ = true;
    ContinueMoved();
    return;
  }
  destination_.reset();
  if (!result) {
    OnAttemptEnded(AttemptOutcome::kBroken, result.error().detail());
    return;
  }
  if (streaming_answer()) {
    if (events_.has_partial()) {
      OnAttemptEnded(AttemptOutcome::kBroken, "stream ended within an event");
      return;
    }
    ReleaseServer(AttemptOutcome::kAnswered);
    if (!passing_) {
      PassEvents({});
    }
    caller_.write(EncodeLastChunk(request_.minor_version), true);
    LogEnd(GatewayEvent::kRequestServed, head_.status, "streamed");
    Finish();
    return;
  }
  const bool failed = IsServerError(head_.status);
  if (passing_ || (failed && MaySendAgain())) {
    OnAttemptEnded(AttemptOutcome::kFailed,
                   "server answered " + std::to_string(head_.status));
    return;
  }
  ReleaseServer(failed ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered);
  PassBuffered();
}

// Gives the connection and the load back; the request itself goes on.
void Exchange::ReleaseServer(AttemptOutcome end) {
  watchdog_.cancel();
  const auto connection = std::exchange(connection_, nullptr);
  if (connection == nullptr) {
    return;
  }
  if (const auto hooks = state_.server_leaving_listeners.find(pick_->server);
      hooks != state_.server_leaving_listeners.end()) {
    hooks->second.erase(this);
    if (hooks->second.empty()) {
      state_.server_leaving_listeners.erase(hooks);
    }
  }
  const TimePoint now = MonotonicNow();
  const bool aside =
      state_.picker.OnEnded(*pick_, first_part_.has_value(), end, now);
  if (aside) {
    state_.log.Write(LogLine(ToName(GatewayEvent::kServerEjected))
                         .With("server", pick_->server.value())
                         .With("end", ToName(end)),
                     GatewayEvent::kServerEjected);
  }
  state_.connection_pool.Release(connection, now);
}

bool Exchange::MaySendAgain() const {
  return (route_->retryable() || !may_have_run_) &&
         sends_ < route_->max_attempts &&
         TimeLeft(MonotonicNow()) >= kLeastSendTime;
}

void Exchange::OnAttemptEnded(AttemptOutcome end, const std::string& why) {
  const TimePoint now = MonotonicNow();
  destination_.reset();
  state_.log.Write(LogLine(ToName(GatewayEvent::kAttemptFailed))
                       .With("request", request_.id)
                       .With("server", pick_->server.value())
                       .With("end", ToName(end))
                       .With("why", why)
                       .With("after_ms", ToMilliseconds(now - sent_at_))
                       .With("events", events_.events())
                       .With("sends", sends_)
                       .With("most_sends", route_->max_attempts),
                   GatewayEvent::kAttemptFailed);
  if (end == AttemptOutcome::kBroken) {
    // It may have begun to run unseen; such runs count as use.
    if (!first_part_ && !counted_ && team_ != nullptr) {
      counted_ = true;
      state_.usage.Count(team_->id, state_.wall_clock.Now(sent_at_));
    }
    ProbeAfterBreak(state_, pick_->server, content_);
  }
  ReleaseServer(end);
  const bool again =
      MaySendAgain() &&
      state_.retry_budget.TryAcquire(service_->name, state_.node_count(), now);
  if (again) {
    if (passing_) {
      state_.log.Write(LogLine(ToName(GatewayEvent::kStreamResumed))
                           .With("request", request_.id)
                           .With("after_event", events_.last_id()),
                       GatewayEvent::kStreamResumed);
    }
    events_.Restart();
    TrySend();
    return;
  }
  if (passing_) {
    Cut(why);
    return;
  }
  if (end == AttemptOutcome::kFailed) {
    PassBuffered();
    return;
  }
  if (!may_have_run_) {
    Answer(Error(ErrorKind::kOverloaded, why)
               .WithRetryAfter(std::max<Duration>(pick_->expected_ttfb / 2,
                                                  kLeastRetryAfter)));
    return;
  }
  Answer(Error(ErrorKind::kServerFailed, why));
}

}  // namespace qh
