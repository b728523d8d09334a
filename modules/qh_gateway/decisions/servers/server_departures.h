// Remembers which server processes have left or announced that they leave, so
// that no older report brings one back: a store restored from an older copy, a
// peer's list, or a registration that was written before the announcement.

#ifndef QH_GATEWAY_DECISIONS_SERVERS_SERVER_DEPARTURES_H_
#define QH_GATEWAY_DECISIONS_SERVERS_SERVER_DEPARTURES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

// One process of a server. A server that starts again is another process, also
// under the same id.
struct ServerProcess {
  ServerId id;
  // Start of the process, ms since 1970.
  int64_t started_ms = 0;

  friend auto operator<=>(const ServerProcess&, const ServerProcess&) = default;
};

class ServerDepartures {
 public:
  // How long a departure is remembered.
  static constexpr Duration kLifetime = std::chrono::minutes(10);
  // Departures remembered; the oldest are dropped first.
  static constexpr size_t kMaxEntries = 4'096;
  // Announcements younger than this are reported to peers, at most
  // kMaxReported of them, newest first.
  static constexpr Duration kReportTime = std::chrono::seconds(10);
  static constexpr size_t kMaxReported = 32;

  // The process announced that it leaves. Returns whether that is new.
  bool OnAnnounced(const ServerProcess& process, TimePoint now);
  // The registration of the process was removed.
  void OnRemoved(const ServerProcess& process, TimePoint now);
  // The process has registered again after its removal.
  void OnReturned(const ServerProcess& process);

  // Whether the process announced that it leaves. This is never taken back.
  bool HasAnnounced(const ServerProcess& process) const;
  // Whether the registration of the process was removed.
  bool WasRemoved(const ServerProcess& process) const;
  // Returns the newest announcements, for the peers.
  std::vector<ServerProcess> Recent(TimePoint now) const;

 private:
  struct Departure {
    TimePoint at;
    bool announced = false;
    bool removed = false;
  };

  // Returns the entry of `process`, a new one if there is none.
  Departure& EntryOf(const ServerProcess& process, TimePoint now);
  void DropOldest(TimePoint now);

  std::map<ServerProcess, Departure> departures_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_SERVERS_SERVER_DEPARTURES_H_
