// The part of Exchange that moves a run off a server that will be taken away.

#include <algorithm>

#include "qh_gateway/decisions/stream_migration.h"
#include "qh_gateway/forwarding/exchange.h"
#include "qh_net/http_client.h"

namespace qh {
namespace {

constexpr auto kMoveLimit = std::chrono::milliseconds(800);
constexpr int kOk = 200;

}  // namespace

void Exchange::OnServerLeaving(Duration leaves_in) {
  if (!is_stream() || !service_->engine ||
      !service_->engine->supports_migration) {
    return;
  }
  const TimePoint leaves_at = MonotonicNow() + leaves_in;
  move_timer_.expires_after(MigrationDelay(leaves_in));
  move_timer_.async_wait([weak = weak_from_this(),
                          leaves_at](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->finished_) {
      self->ConsiderMove(leaves_at);
    }
  });
}

// The caller's bound on the output; a guess may be far too low.
uint64_t Exchange::EventsLeft() const {
  const uint64_t most =
      (request_.max_output_tokens + service_->engine->tokens_per_event - 1) /
      service_->engine->tokens_per_event;
  return most - std::min(most, events_.events());
}

void Exchange::ConsiderMove(TimePoint leaves_at) {
  const TimePoint now = MonotonicNow();
  if (connection_ == nullptr || !first_part_ || !streaming_answer() ||
      destination_) {
    return;
  }
  StreamProgress progress{.events = events_.events(),
                          .running = now - sent_at_ - *first_part_};
  if (request_.max_output_tokens > 0) {
    progress.events_left = EventsLeft();
  }
  if (!ShouldMigrateStream(progress, leaves_at - now)) {
    return;
  }
  const auto destination = state_.picker.Choose({.route = route_,
                                                 .service = service_,
                                                 .request = &request_,
                                                 .tried_servers = tried_,
                                                 .time_left = TimeLeft(now),
                                                 .first_attempt = false},
                                                now);
  const bool allowed =
      destination &&
      state_.retry_budget.TryAcquire(service_->name, state_.node_count(), now);
  if (allowed) {
    StartMove(destination.value());
  }
}

void Exchange::StartMove(const ServerPick& destination) {
  const ServerRecord* source = state_.directory.Find(pick_->server);
  const ServerRecord* target = state_.directory.Find(destination.server);
  if (source == nullptr || target == nullptr) {
    return;
  }
  destination_ = destination;
  move_answered_ = false;
  source_ended_ = false;
  const auto client = HttpClient::Create(state_.io, source->address);
  client->Send(
      state_.codec.write_migration(request_.id, target->address), kMoveLimit,
      [self = shared_from_this(), client,
       source = source->address](const CallReply& reply) {
        client->Stop();
        const auto run =
            reply.outcome == HttpCallOutcome::kAnswered
                ? self->state_.codec.read_migration_handle(source, reply.body)
                : Result<std::string>(
                      Error(ErrorKind::kServerTimeout, "no answer"));
        self->moved_run_ = run ? run.value() : std::string();
        self->OnMoveReply(reply);
      });
}

void Exchange::OnMoveReply(const CallReply& reply) {
  if (finished_ || !destination_) {
    return;
  }
  move_answered_ = true;
  const bool copied =
      reply.outcome == HttpCallOutcome::kAnswered && reply.status == kOk;
  state_.log.Write(LogLine(ToName(GatewayEvent::kStreamMigrated))
                       .With("request", request_.id)
                       .With("server", pick_->server.value())
                       .With("to", destination_->server.value())
                       .With("status", reply.status)
                       .With("events", events_.events()),
                   GatewayEvent::kStreamMigrated);
  if (!copied) {
    moved_run_.clear();
  }
  if (!copied && !source_ended_) {
    // The run goes on where it is.
    destination_.reset();
    return;
  }
  ContinueMoved();
}

// Goes on at the destination once the source has both copied and stopped.
void Exchange::ContinueMoved() {
  if (!move_answered_ || !source_ended_) {
    return;
  }
  const ServerPick destination = *std::exchange(destination_, std::nullopt);
  const ServerRecord* target = state_.directory.Find(destination.server);
  if (moved_run_.empty() || target == nullptr) {
    OnAttemptEnded(AttemptOutcome::kBroken,
                   "server left before the run was moved");
    return;
  }
  events_.Restart();
  state_.connection_pool.Acquire(
      *target, true, MostConnections(), MonotonicNow(),
      [self = shared_from_this(),
       destination](const ServerConnectionPtr& connection) {
        if (self->finished_) {
          return;
        }
        if (connection == nullptr) {
          self->OnAttemptEnded(AttemptOutcome::kBroken,
                               "destination not reached");
          return;
        }
        self->Send(destination, connection);
      });
}

}  // namespace qh
