// What one node believes each backend server has in flight: its own requests,
// exactly, and those of the other nodes, from load reports that lag.

#ifndef QH_ROUTING_LOAD_SERVER_LOAD_VIEW_H_
#define QH_ROUTING_LOAD_SERVER_LOAD_VIEW_H_

#include <array>
#include <cstdint>
#include <vector>

#include "qh_core/time/time.h"

namespace qh {

// Servers are dense indexes, given out by the owner.
class ServerLoadView {
 public:
  // Makes room for `count` servers; known ones keep their counts.
  void Resize(size_t count);

  // Counts a request of this node, with the prompt tokens that the server has
  // to compute.
  void OnDispatched(uint32_t server, double prefill_tokens, TimePoint now);
  // The prompt of a counted request is computed.
  void OnPrefilled(uint32_t server, double prefill_tokens);
  // Ends what OnDispatched began.
  void OnEnded(uint32_t server, TimePoint now);

  // Takes the figures that a server reported as of `measured_at`. A report
  // older than the last one is dropped.
  void OnReport(uint32_t server,
                uint32_t running,
                uint32_t queued,
                TimePoint measured_at);

  // Requests of this node in flight on `server`.
  uint32_t own(uint32_t server) const { return servers_[server].own; }

  // Prompt tokens of this node that `server` has yet to compute.
  double own_prefill(uint32_t server) const { return servers_[server].prefill; }

  // Requests of all nodes in flight on `server`: own ones, and the reported
  // rest, which counts less the older the report is.
  double InFlight(uint32_t server, TimePoint now) const;

  // Requests of other nodes that wait on `server`, aged like InFlight.
  double OthersQueued(uint32_t server, TimePoint now) const;

 private:
  static constexpr size_t kHistory = 32;

  struct Server {
    uint32_t own = 0;
    double prefill = 0;
    // Of other nodes, as of `measured_at`.
    double others = 0;
    double others_queued = 0;
    TimePoint measured_at;
    bool reported = false;
    // Own count at the end of each past slot of kSlot; slot number first.
    std::array<int64_t, kHistory> slots{};
    std::array<uint32_t, kHistory> counts{};
  };

  static double Freshness(const Server& server, TimePoint now);
  static void Remember(Server& server, TimePoint now);
  static uint32_t OwnAt(const Server& server, TimePoint when);

  std::vector<Server> servers_;
  // Mean of `others` over the reported servers; old reports shrink to it.
  double mean_others_ = 0;
};

}  // namespace qh

#endif  // QH_ROUTING_LOAD_SERVER_LOAD_VIEW_H_
