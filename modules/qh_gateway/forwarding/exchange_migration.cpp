// The part of Exchange that migrates a running stream off a server that is
// about to be reclaimed: the server (the source) stops the run and copies its
// KV cache to another server (the destination), where the stream continues.

#include <algorithm>

#include "qh_gateway/decisions/streams/stream_migration.h"
#include "qh_gateway/forwarding/exchange.h"
#include "qh_net/http_client.h"

namespace qh {
namespace {

// Timeout of the call that asks the source to copy the KV cache.
constexpr auto kMigrationTimeout = std::chrono::milliseconds(800);
// The answer to that call is a handle.
constexpr ParserLimits kMigrationLimits = {.body_bytes = 64U << 10U};
// How long a stream stays open after its run was stopped, for events that are
// still on their way.
constexpr auto kStoppedStreamTimeout = std::chrono::milliseconds(100);
// How much sooner another node may have learned that a server leaves.
constexpr auto kNoticeSpread = std::chrono::milliseconds(250);
// Pause before a run that went on at a leaving server is migrated again.
constexpr auto kMigrationRetryInterval = std::chrono::milliseconds(100);

}  // namespace

void Exchange::OnServerLeaving(Duration leaves_in) {
  if (!is_stream() || !service_->engine ||
      !service_->engine->supports_migration) {
    return;
  }
  const TimePoint now = MonotonicNow();
  notice_ = {.leaves_at = now + leaves_in, .received = now};
  if (!IsStopped(evidence_.stop)) {
    ArmMigrationTimer(MigrationDelay(leaves_in));
  }
}

void Exchange::ArmMigrationTimer(Duration delay) {
  migration_timer_.expires_after(delay);
  migration_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->finished_ && self->notice_) {
          self->ConsiderMigration(self->notice_->leaves_at);
        }
      });
}

// Uses the caller's limit on the output, not its estimate, which may be far too
// low.
uint64_t Exchange::MaxEventsLeft() const {
  const uint64_t max_events =
      (request_.max_output_tokens + service_->engine->tokens_per_event - 1) /
      service_->engine->tokens_per_event;
  return max_events - std::min(max_events, event_splitter_.events());
}

void Exchange::ConsiderMigration(TimePoint leaves_at) {
  const TimePoint now = MonotonicNow();
  if (connection_ != nullptr && forwarding_ && !time_to_first_byte_) {
    // The run goes on at this server, and has sent nothing yet.
    ArmMigrationTimer(kMigrationRetryInterval);
    return;
  }
  if (connection_ == nullptr || !time_to_first_byte_ || !streaming_answer() ||
      destination_ || evidence_.end != AnswerEnd::kOpen || !MaySend()) {
    return;
  }
  StreamProgress progress{
      .events = event_splitter_.events(),
      .running = now - attempt_started_ - *time_to_first_byte_};
  if (request_.max_output_tokens > 0) {
    progress.events_left = MaxEventsLeft();
  }
  if (!ShouldMigrateStream(progress, leaves_at - now)) {
    return;
  }
  const auto destination = Choose(now);
  const bool allowed =
      destination && state_.retry_budget.TryAcquire(service_->name,
                                                    state_.budget_nodes(), now);
  if (allowed) {
    StartMigration(destination.value());
  }
}

void Exchange::StartMigration(const ServerPick& destination) {
  const ServerRecord* source = state_.directory.Find(pick_->server);
  const ServerRecord* destination_server =
      state_.directory.Find(destination.server);
  if (source == nullptr || destination_server == nullptr) {
    return;
  }
  // The source is asked to copy, and the destination to go on.
  ServerRateLimits& limits = state_.picker.rate_limits();
  if (!limits.TakePermit(source->id, MonotonicNow()) ||
      !limits.TakePermit(destination.server, MonotonicNow())) {
    return;
  }
  permitted_server_ = destination.server;
  destination_ = destination;
  const RunStop before = std::exchange(evidence_.stop, RunStop::kPending);
  const auto client = HttpClient::Create(state_.io, source->address,
                                         state_.byte_budget, kMigrationLimits);
  client->Send(
      state_.codec.write_migration(request_.id, destination_server->address),
      kMigrationTimeout,
      [self = shared_from_this(), client, attempt = attempt_number_, before,
       source = source->address](const CallReply& reply) {
        client->Stop();
        if (!self->finished_ && attempt == self->attempt_number_) {
          self->OnMigrationReply(source, reply, before);
        }
      });
}

void Exchange::OnMigrationReply(const Address& source,
                                const CallReply& reply,
                                RunStop before) {
  StopReply stop;
  if (reply.outcome == HttpCallOutcome::kAnswered) {
    const auto handle = state_.codec.read_migration_handle(source, reply.body);
    stop = {.status = reply.status, .has_handle = bool(handle)};
    migrated_kv_handle_ = handle ? handle.value() : std::string();
  }
  evidence_.stop = ReadStopReply(stop, before);
  state_.log.Write(LogLine(ToName(GatewayEvent::kStreamMigrated))
                       .With("request", request_.id)
                       .With("server", pick_->server.value())
                       .With("to", destination_->server.value())
                       .With("status", reply.status)
                       .With("run", ToName(evidence_.stop))
                       .With("stream", ToName(evidence_.end))
                       .With("events", event_splitter_.events()),
                   GatewayEvent::kStreamMigrated);
  if (!IsStopped(evidence_.stop)) {
    destination_.reset();
    migrated_kv_handle_.clear();
  } else if (evidence_.end == AnswerEnd::kOpen) {
    AwaitStoppedStreamEnd();
  }
  ActOnEvidence();
}

void Exchange::AwaitStoppedStreamEnd() {
  migration_timer_.expires_after(kStoppedStreamTimeout);
  migration_timer_.async_wait(
      [weak = weak_from_this(),
       attempt = attempt_number_](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || self == nullptr || self->finished_ ||
            attempt != self->attempt_number_ ||
            self->evidence_.end != AnswerEnd::kOpen) {
          return;
        }
        self->connection_->Close();
        self->OnEnd(Error(ErrorKind::kServerTimeout,
                          "the stopped stream was not closed"));
      });
}

void Exchange::ContinueAtDestination() {
  ContinueRun(*destination_);
}

void Exchange::ContinueAtSource() {
  if (!SourceTakesRequests(MonotonicNow())) {
    OnBroken();
    return;
  }
  if (destination_) {
    // It has no room for the copy, or the source does not reach it.
    tried_servers_.insert(destination_->server);
  }
  ContinueRun(*pick_);
  ArmMigrationTimer(kMigrationRetryInterval);
}

bool Exchange::SourceTakesRequests(TimePoint now) const {
  return notice_ && now < notice_->leaves_at &&
         now + kNoticeSpread < notice_->received + state_.settings.server_drain;
}

void Exchange::ContinueRun(const ServerPick& pick) {
  const ServerRecord* server = state_.directory.Find(pick.server);
  if (migrated_kv_handle_.empty() || server == nullptr) {
    OnBroken();
    return;
  }
  destination_.reset();
  ++attempt_number_;
  ReleaseServer(AttemptOutcome::kAbandoned);
  event_splitter_.Restart();
  ServerPick cached = pick;
  cached.prefill_tokens = 0;
  state_.connection_pool.Acquire(
      *server, true, MaxConnections(), MonotonicNow(),
      [self = shared_from_this(),
       cached](const ServerConnectionPtr& connection) {
        self->OnContinuationReady(cached, connection);
      });
}

void Exchange::OnContinuationReady(const ServerPick& pick,
                                   const ServerConnectionPtr& connection) {
  if (finished_) {
    if (connection != nullptr) {
      state_.connection_pool.Release(connection, MonotonicNow());
    }
    return;
  }
  if (connection != nullptr) {
    SendAttempt(pick, connection);
    return;
  }
  if (pick.server == pick_->server) {
    OnAttemptFailed(AttemptOutcome::kBroken,
                    "can't connect to the server that stopped the run");
    return;
  }
  OnUnreachable(pick);
  // The handle was not used, and the source has the KV cache as well.
  ContinueAtSource();
}

}  // namespace qh
