#include "qh_gateway/decisions/streams/stream_migration.h"

#include <algorithm>

namespace qh {

Duration MigrationDelay(Duration leaves_in) {
  return std::max<Duration>(leaves_in - kMigrationLead, Duration::zero());
}

bool ShouldMigrateStream(const StreamProgress& progress, Duration leaves_in) {
  if (!progress.events_left || progress.events < 2) {
    return true;
  }
  const double per_event =
      ToSeconds(progress.running) / static_cast<double>(progress.events - 1);
  const Duration left =
      FromSeconds(per_event * static_cast<double>(*progress.events_left));
  return left + kMigrationMargin > leaves_in;
}

}  // namespace qh
