// The part of Exchange that ends attempts and makes further ones.

#include "qh_gateway/forwarding/exchange.h"

namespace qh {
namespace {

// Time until a stalled attempt is looked at again that could not be given up.
constexpr auto kStallRecheckInterval = std::chrono::milliseconds(100);
constexpr auto kMinRetryAfter = std::chrono::milliseconds(50);

}  // namespace

// Only requests that may be retried get a timer: the others can't be sent to
// another server anyway.
void Exchange::ArmStallTimer(Duration timeout) {
  if (!route_->retryable() || attempts_ >= route_->max_attempts) {
    stall_timer_.cancel();
    return;
  }
  stall_timer_.expires_after(timeout);
  stall_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->finished_) {
          self->OnStall();
        }
      });
}

void Exchange::OnStall() {
  const bool has_ended = evidence_.end != AnswerEnd::kOpen;
  if (connection_ == nullptr || has_ended || !MayRetry()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const auto pick = Choose(now);
  has_retry_permit_ =
      has_retry_permit_ || (pick && !connecting_replacement_ &&
                            state_.retry_budget.TryAcquire(
                                service_->name, state_.budget_nodes(), now));
  if (!pick || connecting_replacement_ || !has_retry_permit_) {
    ArmStallTimer(kStallRecheckInterval);
    return;
  }
  ConnectReplacement(pick.value());
}

// A slow server is better than none: the stalled attempt goes on until there is
// a connection to another server.
void Exchange::ConnectReplacement(const ServerPick& pick) {
  connecting_replacement_ = true;
  state_.connection_pool.Acquire(
      *state_.directory.Find(pick.server), !route_->retryable(),
      MaxConnections(), MonotonicNow(),
      [self = shared_from_this(), pick, stalled = connection_,
       began = time_to_first_byte_.has_value(),
       events =
           event_splitter_.events()](const ServerConnectionPtr& connection) {
        self->connecting_replacement_ = false;
        const bool still_stalled =
            !self->finished_ && self->connection_ == stalled &&
            self->evidence_.end == AnswerEnd::kOpen &&
            self->time_to_first_byte_.has_value() == began &&
            self->event_splitter_.events() == events;
        self->OnReplacementReady(pick, connection, still_stalled);
      });
}

void Exchange::OnReplacementReady(const ServerPick& pick,
                                  const ServerConnectionPtr& connection,
                                  bool still_stalled) {
  const TimePoint now = MonotonicNow();
  if (still_stalled && connection != nullptr && TakeServerPermit(pick.server)) {
    permitted_server_ = pick.server;
    connection_->Close();
    EndAttempt(AttemptOutcome::kUnresponsive,
               "server stalled: nothing received within the timeout");
    has_retry_permit_ = false;
    RestartAnswer();
    OnConnectionReady(pick, connection);
    return;
  }
  if (connection != nullptr) {
    state_.connection_pool.Release(connection, now);
  } else {
    OnUnreachable(pick);
  }
  if (still_stalled) {
    ArmStallTimer(kStallRecheckInterval);
  }
}

bool Exchange::MayRetry() const {
  return (route_->retryable() || !may_have_run_) &&
         attempts_ < route_->max_attempts &&
         TimeLeft(MonotonicNow()) >= kMinAttemptTime && MaySend();
}

bool Exchange::MaySend() const {
  switch (state_.crash_tracker.Judge(features_, MonotonicNow())) {
    case Suspicion::kNone:
      return true;
    case Suspicion::kSuspect:
      // Callers' new requests decide whether the suspicion is right; repeating
      // this one would only cost another server.
      return !may_have_run_;
    case Suspicion::kBlocked:
      return is_trial_ && !may_have_run_;
  }
  return true;
}

void Exchange::EndAttempt(AttemptOutcome outcome, const std::string& reason) {
  const TimePoint now = MonotonicNow();
  ++attempt_number_;
  destination_.reset();
  migrated_kv_handle_.clear();
  state_.log.Write(LogLine(ToName(GatewayEvent::kAttemptFailed))
                       .With("request", request_.id)
                       .With("server", pick_->server.value())
                       .With("end", ToName(outcome))
                       .With("why", reason)
                       .With("after_ms", ToMilliseconds(now - attempt_started_))
                       .With("events", event_splitter_.events())
                       .With("sends", attempts_)
                       .With("most_sends", route_->max_attempts),
                   GatewayEvent::kAttemptFailed);
  if (outcome == AttemptOutcome::kBroken) {
    // The server may have executed the request; that counts as usage.
    if (!time_to_first_byte_ && !usage_counted_ && team_ != nullptr) {
      usage_counted_ = true;
      state_.usage.Count(team_->id, state_.wall_clock.Now(attempt_started_));
    }
    ProbeAfterDisconnect(state_, CurrentRun());
  }
  ReleaseServer(outcome);
}

void Exchange::RestartAnswer() {
  if (forwarding_) {
    state_.log.Write(LogLine(ToName(GatewayEvent::kStreamResumed))
                         .With("request", request_.id)
                         .With("after_event", event_splitter_.last_id()),
                     GatewayEvent::kStreamResumed);
  }
  event_splitter_.Restart();
}

void Exchange::OnAttemptFailed(AttemptOutcome outcome,
                               const std::string& reason) {
  EndAttempt(outcome, reason);
  const TimePoint now = MonotonicNow();
  const bool permitted = std::exchange(has_retry_permit_, false);
  const bool retry =
      MayRetry() &&
      (permitted || state_.retry_budget.TryAcquire(service_->name,
                                                   state_.budget_nodes(), now));
  if (retry) {
    RestartAnswer();
    StartAttempt();
    return;
  }
  if (forwarding_) {
    Abort(reason);
    return;
  }
  if (outcome == AttemptOutcome::kFailed) {
    ForwardBuffered();
    return;
  }
  if (!may_have_run_) {
    AnswerWithError(Error(ErrorKind::kOverloaded, reason)
                        .WithRetryAfter(std::max<Duration>(
                            pick_->expected_ttfb / 2, kMinRetryAfter)));
    return;
  }
  AnswerWithError(Error(ErrorKind::kServerFailed, reason));
}

}  // namespace qh
