// One node's estimate of the requests in flight on each backend server: the
// node's own requests, counted exactly, and those of the other nodes, derived
// from load reports that lag.

#ifndef QH_ROUTING_LOAD_SERVER_LOAD_VIEW_H_
#define QH_ROUTING_LOAD_SERVER_LOAD_VIEW_H_

#include <array>
#include <cstdint>
#include <vector>

#include "qh_core/time/time.h"

namespace qh {

// Servers are identified by dense indexes that the owner assigns.
class ServerLoadView {
 public:
  // Makes room for `count` servers; known ones keep their counts.
  void Resize(size_t count);

  // Counts a request of this node. `prefill_tokens` are the prompt tokens that
  // the server has to compute.
  void OnDispatched(uint32_t server, double prefill_tokens, TimePoint now);
  // The server has computed the prompt of a counted request.
  void OnPrefilled(uint32_t server, double prefill_tokens);
  // A counted request ended.
  void OnEnded(uint32_t server, TimePoint now);

  // Records the load that a server measured at `measured_at`. Reports that are
  // not newer than the last one are dropped.
  void OnReport(uint32_t server,
                uint32_t running,
                uint32_t queued,
                TimePoint measured_at);

  // Requests of this node in flight on `server`.
  uint32_t own(uint32_t server) const { return servers_[server].own; }

  // Prompt tokens of this node's requests that `server` has yet to compute.
  double own_prefill_tokens(uint32_t server) const {
    return servers_[server].prefill_tokens;
  }

  // Estimated requests of all nodes in flight on `server`. The older the last
  // report, the more the requests of other nodes are estimated by their mean
  // over all servers.
  double InFlight(uint32_t server, TimePoint now) const;

  // Requests of other nodes queued on `server`. The value decreases with the
  // age of the last report.
  double OthersQueued(uint32_t server, TimePoint now) const;

 private:
  static constexpr size_t kHistorySlots = 32;

  struct Server {
    // Requests of this node in flight.
    uint32_t own = 0;
    double prefill_tokens = 0;
    // Requests of other nodes as of `measured_at`: in flight, and queued.
    double others = 0;
    double others_queued = 0;
    TimePoint measured_at;
    bool reported = false;
    // History of `own` as a ring: the number of a past time slot of
    // kSlotLength, and the count at its end.
    std::array<int64_t, kHistorySlots> slots{};
    std::array<uint32_t, kHistorySlots> counts{};
  };

  // Weight of the last report, 0 to 1.
  static double Freshness(const Server& server, TimePoint now);
  static void RecordOwnCount(Server& server, TimePoint now);
  // Requests of this node in flight at `time`, or now if the history does not
  // go back that far.
  static uint32_t OwnCountAt(const Server& server, TimePoint time);

  std::vector<Server> servers_;
  // Smoothed mean of `others` over the reported servers. The estimate for a
  // server approaches it as its last report ages.
  double mean_others_ = 0;
};

}  // namespace qh

#endif  // QH_ROUTING_LOAD_SERVER_LOAD_VIEW_H_
