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
constexpr int kStatusOk = 200;

}  // namespace

void Exchange::OnServerLeaving(Duration leaves_in) {
  if (!is_stream() || !service_->engine ||
      !service_->engine->supports_migration) {
    return;
  }
  const TimePoint leaves_at = MonotonicNow() + leaves_in;
  migration_timer_.expires_after(MigrationDelay(leaves_in));
  migration_timer_.async_wait([weak = weak_from_this(), leaves_at](
                                  const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->finished_) {
      self->ConsiderMigration(leaves_at);
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
  if (connection_ == nullptr || !time_to_first_byte_ || !streaming_answer() ||
      destination_ || confirming_end_ || !MaySend()) {
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
  migration_answered_ = false;
  source_ended_ = false;
  const auto client = HttpClient::Create(state_.io, source->address,
                                         state_.byte_budget, kMigrationLimits);
  client->Send(
      state_.codec.write_migration(request_.id, destination_server->address),
      kMigrationTimeout,
      [self = shared_from_this(), client,
       source = source->address](const CallReply& reply) {
        client->Stop();
        const auto run =
            reply.outcome == HttpCallOutcome::kAnswered
                ? self->state_.codec.read_migration_handle(source, reply.body)
                : Result<std::string>(
                      Error(ErrorKind::kServerTimeout,
                            "source did not answer the migration call"));
        self->migrated_kv_handle_ = run ? run.value() : std::string();
        self->OnMigrationReply(reply);
      });
}

void Exchange::OnMigrationReply(const CallReply& reply) {
  if (finished_ || !destination_) {
    return;
  }
  migration_answered_ = true;
  const bool copied =
      reply.outcome == HttpCallOutcome::kAnswered && reply.status == kStatusOk;
  state_.log.Write(LogLine(ToName(GatewayEvent::kStreamMigrated))
                       .With("request", request_.id)
                       .With("server", pick_->server.value())
                       .With("to", destination_->server.value())
                       .With("status", reply.status)
                       .With("events", event_splitter_.events()),
                   GatewayEvent::kStreamMigrated);
  if (!copied) {
    migrated_kv_handle_.clear();
  }
  if (!copied && !source_ended_) {
    // The source still runs the stream.
    destination_.reset();
    return;
  }
  ContinueAtDestination();
}

// Resumes the stream at the destination, once the source has both answered the
// migration call and ended the stream.
void Exchange::ContinueAtDestination() {
  if (!migration_answered_ || !source_ended_) {
    return;
  }
  ServerPick destination = *std::exchange(destination_, std::nullopt);
  // The KV cache was copied.
  destination.prefill_tokens = 0;
  const ServerRecord* server = state_.directory.Find(destination.server);
  if (migrated_kv_handle_.empty() || server == nullptr) {
    OnAttemptFailed(AttemptOutcome::kBroken,
                    "server lost before the stream was migrated");
    return;
  }
  event_splitter_.Restart();
  state_.connection_pool.Acquire(
      *server, true, MaxConnections(), MonotonicNow(),
      [self = shared_from_this(),
       destination](const ServerConnectionPtr& connection) {
        if (self->finished_) {
          return;
        }
        if (connection == nullptr) {
          self->OnAttemptFailed(AttemptOutcome::kBroken,
                                "can't connect to the migration destination");
          return;
        }
        self->SendAttempt(destination, connection);
      });
}

}  // namespace qh
