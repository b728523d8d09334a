// Whether and when the run of a stream is moved off a server that will be taken
// away.

#ifndef QH_GATEWAY_DECISIONS_STREAM_MIGRATION_H_
#define QH_GATEWAY_DECISIONS_STREAM_MIGRATION_H_

#include <cstdint>
#include <optional>

#include "qh_core/time/time.h"

namespace qh {

// A stream as far as it has come.
struct StreamProgress {
  uint64_t events = 0;
  // Since its first event.
  Duration running = Duration::zero();
  // Most events that it can still make; nothing when not known.
  std::optional<uint64_t> events_left;
};

// A move is begun this long before the server goes: late, so that most runs end
// by themselves, and early enough for the copy and its queue.
inline constexpr Duration kMigrationLead = std::chrono::milliseconds(900);
// Time that a run must miss its server's end by to be worth moving.
inline constexpr Duration kMigrationMargin = std::chrono::milliseconds(150);

// Returns how long to wait before a run is looked at again, when its server
// goes in `leaves_in`; zero means now.
Duration MigrationDelay(Duration leaves_in);

// Returns whether a run is moved off a server that goes in `leaves_in`.
bool ShouldMigrateStream(const StreamProgress& progress, Duration leaves_in);

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STREAM_MIGRATION_H_
