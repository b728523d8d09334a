// Chooses backend servers. For a model: the server with the least expected wait
// and recomputation, out of those that likely hold the prompt's beginning, the
// prompt's home servers and a few random ones. For a plain service: least in
// flight. No I/O, no clock; the owner serialises calls.

#ifndef QH_ROUTING_ROUTER_H_
#define QH_ROUTING_ROUTER_H_

#include <deque>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_routing/affinity/prefix_affinity.h"
#include "qh_routing/decision_log.h"
#include "qh_routing/health/concurrency_limit.h"
#include "qh_routing/health/server_health.h"
#include "qh_routing/load/server_load_view.h"
#include "qh_routing/route_query.h"
#include "qh_routing/server_table.h"

namespace qh {

class Router {
 public:
  // Creates a router for `config`. `seed` feeds its random choices.
  static Router Create(ConfigurationPtr config, uint64_t seed);
  // Same, with other options for prefix affinity.
  static Router Create(ConfigurationPtr config,
                       uint64_t seed,
                       PrefixAffinity::Options affinity);

  // Replaces the configuration; in-flight counts of known servers stay.
  void SetConfiguration(ConfigurationPtr config);

  // Servers that get no new work from now on, whole list each time.
  void SetLeaving(std::set<ServerId> leaving);

  // Says which model versions and adapters `server` has loaded.
  void SetCapability(const ServerId& server, ServerCapability capability);

  // Chooses a server. Fails with kUnknownModel, kUnknownRoute or kNoServer.
  Result<RouteChoice> Choose(const RouteQuery& query, TimePoint now);

  // Counts a request as in flight on `server`.
  void OnDispatched(const ServerId& server,
                    const RouteQuery& query,
                    TimePoint now);
  // The first part of the answer arrived.
  void OnFirstByte(const ServerId& server,
                   const RouteQuery& query,
                   TimePoint now);
  // Ends what OnDispatched began.
  void OnEnded(const ServerId& server,
               const RouteQuery& query,
               DispatchOutcome end,
               TimePoint now);
  void OnLoadReport(const LoadReport& report, TimePoint now);
  void OnCacheEvent(const CacheEvent& event, TimePoint now);

  // Judges servers whose first parts are overdue; several times a second.
  void OnTick(TimePoint now);

  // Requests of this node in flight on `server`.
  uint32_t InFlight(const ServerId& server) const;

  // Returns whether `server` is healthy, ejected or returning.
  HealthState HealthOf(const ServerId& server, TimePoint now) const;

  // Past decisions; the owner adds refusals of its own.
  DecisionLog& decisions() { return decisions_; }
  const DecisionLog& decisions() const { return decisions_; }

 private:
  // A dispatch that has not ended.
  struct Dispatch {
    uint32_t server = 0;
    TimePoint at;
    // Expected time to the first part.
    Duration expected{};
    // Prompt tokens that the server has to compute.
    double prefill = 0;
    // Whether the server had room, so that the wait tells about the server.
    bool had_room = true;
    bool first_part = false;
    bool judged = false;
  };

  // What speaks for and against one server.
  struct Candidate {
    uint32_t server = 0;
    // Smaller is better; seconds.
    double score = 0;
    double first_part = 0;
    uint32_t cached_tokens = 0;
    double in_flight = 0;
    double limit = 0;
    std::string_view reason;
  };

  struct Homes;

  Router(ConfigurationPtr config,
         uint64_t seed,
         PrefixAffinity::Options affinity);

  Result<RouteChoice> ChooseService(const RouteQuery& query,
                                    const std::vector<uint32_t>& servers,
                                    TimePoint now);
  Result<RouteChoice> ChooseEngine(const RouteQuery& query,
                                   const std::vector<uint32_t>& servers,
                                   TimePoint now);
  Homes FindHomes(uint64_t key, TimePoint now) const;
  Candidate Assess(uint32_t server,
                   uint32_t cached_tokens,
                   bool is_home,
                   const RouteQuery& query,
                   TimePoint now) const;
  Candidate BestWithRoom(const RouteQuery& query,
                         uint32_t hot_tokens,
                         TimePoint now) const;
  RouteChoice Answer(const Candidate& best,
                     const RouteQuery& query,
                     TimePoint now);
  Dispatch* FindDispatch(const ServerId& server, const RouteQuery& query);
  void Learn(Dispatch& dispatch, Duration waited, TimePoint now);

  ConfigurationPtr config_;
  Rng rng_;
  ServerTable table_;
  ServerLoadView load_;
  PrefixAffinity affinity_;
  ServerHealth health_;
  // One per server.
  std::vector<ConcurrencyLimit> limits_;
  DecisionLog decisions_;

  // By request and server.
  std::unordered_map<std::string, Dispatch> dispatches_;
  // Keys of dispatches_ in the order of dispatch; ended ones are passed over.
  std::deque<std::pair<TimePoint, std::string>> waiting_;
  // Observed first-part time over the expectation, smoothed over all servers.
  double pace_ = 1;
  // Smoothed time of a request on its server, seconds.
  double service_seconds_ = 2;
  // Smoothed prompt tokens computed per request.
  double prefill_tokens_ = 300;
  // Indexes that passed IsEligible; scratch of ChooseEngine.
  std::vector<uint32_t> eligible_;
};

}  // namespace qh

#endif  // QH_ROUTING_ROUTER_H_
