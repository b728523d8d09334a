// Decides whether and when a running stream is migrated from a server whose
// instance is about to be reclaimed.

#ifndef QH_GATEWAY_DECISIONS_STREAMS_STREAM_MIGRATION_H_
#define QH_GATEWAY_DECISIONS_STREAMS_STREAM_MIGRATION_H_

#include <cstdint>
#include <optional>

#include "qh_core/time/time.h"

namespace qh {

// Progress of a running stream.
struct StreamProgress {
  // Events so far.
  uint64_t events = 0;
  // Time since the first event.
  Duration running = Duration::zero();
  // Upper bound on the events still to come; nullopt when not known.
  std::optional<uint64_t> events_left;
};

// A migration starts this long before the server is gone: as late as possible,
// so that most streams end by themselves, but early enough for copying the KV
// cache, including the wait when several copies queue.
inline constexpr Duration kMigrationLead = std::chrono::milliseconds(900);
// A stream is left where it is if it is expected to end at least this long
// before the server is gone.
inline constexpr Duration kMigrationMargin = std::chrono::milliseconds(150);

// Returns how long to wait before deciding about a stream whose server is gone
// in `leaves_in`; zero means to decide now.
Duration MigrationDelay(Duration leaves_in);

// Returns whether a stream is to be migrated from a server that is gone in
// `leaves_in`: when it can't be expected to end before, extrapolating the time
// per event so far.
bool ShouldMigrateStream(const StreamProgress& progress, Duration leaves_in);

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STREAMS_STREAM_MIGRATION_H_
