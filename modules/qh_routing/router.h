// Chooses a backend server for a request.
//
// For a model, the candidates are the servers that are likely to hold the
// beginning of the prompt in their prefix cache, the prompt's home servers, and
// a few random servers. The candidate with the lowest cost in expected wait and
// recomputed prompt tokens is chosen. For a plain service, the server with the
// fewest requests in flight is chosen.
//
// The router does no I/O and reads no clock. It is not thread safe.

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
  // Creates a router for `config`. `seed` seeds its random choices.
  static Router Create(ConfigurationPtr config, uint64_t seed);
  // Same, with other options for prefix affinity.
  static Router Create(ConfigurationPtr config,
                       uint64_t seed,
                       PrefixAffinity::Options affinity);

  // Replaces the configuration; in-flight counts of known servers stay.
  void SetConfiguration(ConfigurationPtr config);

  // Sets the servers that get no new requests from now on. Replaces the last
  // set.
  void SetLeaving(std::set<ServerId> leaving);

  // Sets which model versions and adapters `server` has loaded.
  void SetCapability(const ServerId& server, ServerCapability capability);

  // Chooses a server. Fails with kUnknownModel, kUnknownRoute or kNoServer.
  Result<RouteChoice> Choose(const RouteQuery& query, TimePoint now);

  // Counts a request as in flight on `server`.
  void OnDispatched(const ServerId& server,
                    const RouteQuery& query,
                    TimePoint now);
  // The first byte of the answer arrived.
  void OnFirstByte(const ServerId& server,
                   const RouteQuery& query,
                   TimePoint now);
  // A request that OnDispatched counted ended.
  void OnEnded(const ServerId& server,
               const RouteQuery& query,
               DispatchOutcome outcome,
               TimePoint now);
  // A server reported its load, or a change of its prefix cache.
  void OnLoadReport(const LoadReport& report, TimePoint now);
  void OnCacheEvent(const CacheEvent& event, TimePoint now);

  // Counts overdue first bytes against their servers. Call it several times a
  // second.
  void OnTick(TimePoint now);

  // Requests of this node in flight on `server`.
  uint32_t InFlight(const ServerId& server) const;

  // Returns whether `server` is healthy, ejected or returning.
  HealthState HealthOf(const ServerId& server, TimePoint now) const;

  // The last decisions. The owner adds the refusals of its admission control.
  DecisionLog& decisions() { return decisions_; }
  const DecisionLog& decisions() const { return decisions_; }

 private:
  // A dispatch that has not ended.
  struct Dispatch {
    uint32_t server = 0;
    TimePoint dispatched_at;
    // Expected time to first byte on a healthy server.
    Duration expected{};
    // Prompt tokens that the server has to compute.
    double prefill_tokens = 0;
    // Whether the server was below its limit. If not, the time to first byte
    // includes queueing and does not update latency_scale_.
    bool had_capacity = true;
    bool has_first_byte = false;
    // The overdue first byte was reported to health_ before its arrival.
    bool counted_as_overdue = false;
  };

  // A server with the estimates that its choice depends on.
  struct Candidate {
    uint32_t server = 0;
    // Cost in seconds; the lowest is chosen.
    double score = 0;
    // Expected time to first byte.
    double ttfb_seconds = 0;
    uint32_t cached_tokens = 0;
    double in_flight = 0;
    double limit = 0;
    std::string_view reason;
  };

  struct HomeServers;

  Router(ConfigurationPtr config,
         uint64_t seed,
         PrefixAffinity::Options affinity);

  Result<RouteChoice> ChooseService(const RouteQuery& query,
                                    const std::vector<uint32_t>& servers,
                                    TimePoint now);
  Result<RouteChoice> ChooseEngine(const RouteQuery& query,
                                   const std::vector<uint32_t>& servers,
                                   TimePoint now);
  // Returns the home servers for `key` among eligible_, which is not empty.
  HomeServers FindHomeServers(uint64_t key, TimePoint now) const;
  // Returns the estimates and the cost of sending `query` to `server`.
  // `is_home`: whether `server` is the first home server of the prompt.
  Candidate ScoreServer(uint32_t server,
                        uint32_t cached_tokens,
                        bool is_home,
                        const RouteQuery& query,
                        TimePoint now) const;
  // Returns the best of all eligible_ servers. Used when the best candidate is
  // at its limit.
  Candidate BestOfAll(const RouteQuery& query,
                      uint32_t hot_tokens,
                      TimePoint now) const;
  // Adds the choice to the decision log and returns it.
  RouteChoice RecordChoice(const Candidate& best,
                           const RouteQuery& query,
                           TimePoint now);
  // Returns the dispatch of `query` to `server`, or null.
  Dispatch* FindDispatch(const ServerId& server, const RouteQuery& query);
  // Updates latency_scale_, the server's health and its concurrency limit.
  void RecordTimeToFirstByte(Dispatch& dispatch, Duration ttfb, TimePoint now);

  ConfigurationPtr config_;
  Rng rng_;
  ServerTable table_;
  ServerLoadView load_;
  PrefixAffinity affinity_;
  ServerHealth health_;
  // By server index.
  std::vector<ConcurrencyLimit> limits_;
  DecisionLog decisions_;

  // Dispatches in flight, by DispatchKey.
  std::unordered_map<std::string, Dispatch> dispatches_;
  // Times and keys of dispatches to models in order of dispatch, for OnTick.
  // Entries stay after their dispatch has ended.
  std::deque<std::pair<TimePoint, std::string>> awaiting_first_byte_;
  // Smoothed ratio of observed to expected time to first byte, over all
  // servers.
  double latency_scale_ = 1;
  // Smoothed time that a request takes on its server, in seconds.
  double mean_request_seconds_ = 2;
  // Smoothed number of uncached prompt tokens per request.
  double mean_prefill_tokens_ = 300;
  // Servers that may be chosen; scratch space of ChooseEngine.
  std::vector<uint32_t> eligible_;
};

}  // namespace qh

#endif  // QH_ROUTING_ROUTER_H_
