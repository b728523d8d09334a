// Picks the backend server for a request.
//
// Among model engines, picks the one with the shortest expected time to the
// first event. The estimate takes into account the outstanding work there, the
// part of the prompt that is likely cached, the service's prefill rate, the
// engine's speed and the streams that run there. Between nearly equal engines,
// the prompt's home server is preferred. All nodes agree on it by rendezvous
// hashing, weighted by speed, so that prompts with the same prefix meet in one
// cache.
//
// Among the servers of a plain service, picks the one with the fewest requests
// in flight per slot.
//
// A request that no server can start in time is refused (admission control).
// The class does no I/O and reads no clock.

#ifndef QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_PICKER_H_
#define QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_PICKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/admission/server_urgency.h"
#include "qh_gateway/decisions/limits/server_rate_limits.h"
#include "qh_gateway/decisions/placement/engine_estimate.h"
#include "qh_gateway/decisions/placement/outlier_detector.h"
#include "qh_gateway/decisions/placement/prefix_cache_estimate.h"
#include "qh_gateway/decisions/placement/server_load.h"
#include "qh_gateway/decisions/placement/server_pauses.h"
#include "qh_gateway/decisions/placement/server_speeds.h"
#include "qh_gateway/decisions/servers/server_directory.h"
#include "qh_gateway/model/caller_request.h"
#include "qh_gateway/model/service_config.h"

namespace qh {

// The request for which a server is to be picked.
struct PickQuery {
  const RouteRule* route = nullptr;
  const ServiceRule* service = nullptr;
  const CallerRequest* request = nullptr;
  // Servers that are not to be picked, because the request was sent to them
  // before.
  std::set<ServerId> tried_servers;
  // Whether a server may take the request; empty if every one may.
  std::function<bool(const ServerRecord&)> eligible;
  // Time until the request's deadline.
  Duration time_left = Duration::zero();
  // Rank of the request among those for the service, 0 the most urgent.
  int priority = 0;
  // Whether this is the request's first attempt. Retries and migrations are
  // never refused as overloaded.
  bool first_attempt = true;
  // The shortest target for the time between two events among the streams of
  // the service; nullopt takes the route's.
  std::optional<Duration> service_gap_target;
  // The request's route, team or size class is served too seldom. Its own
  // prefill then doesn't count against the limit on the expected time, so that
  // small requests don't always take the room before a large one.
  bool promoted = false;
  // Set if the request can wait at this node for room. It is then refused as
  // overloaded when a plain server has this many in flight per slot.
  std::optional<double> hold_per_slot;
};

// The server picked for an attempt.
struct ServerPick {
  ServerId server;
  // Expected time to first byte; for streams, to the first event.
  Duration expected_ttfb = Duration::zero();
  // Prompt tokens that the server is expected to have to compute (prefill), see
  // EngineEstimate.
  double prefill_tokens = 0;
  // Tokens that the request is expected to hold in the engine's KV cache.
  double kv_tokens = 0;
  // Work outstanding at the server when it was picked, of all nodes.
  OutstandingWork outstanding;
  // The server's prefill rate relative to its service's.
  double speed = 1;
  // Expected longest time between two events of the streams there while the
  // prompt is computed.
  Duration expected_gap = Duration::zero();
};

class ServerPicker {
 public:
  // A request is refused if its expected time to the first event exceeds the
  // route's latency target times this factor. The factor is divided by 1 + the
  // route's priority, down to 1, so that less urgent requests are refused
  // earlier.
  static constexpr double kMaxLateness = 4.0;
  // Share of the time left within which the response must be expected to start.
  static constexpr double kUsableTimeShare = 0.7;
  // Up to so many servers are all compared for a request. Of more, the prompt's
  // first home servers are compared with some drawn at random: what a node
  // knows of its peers' requests is a little old, and nodes that compare all
  // servers send theirs to the same idle one.
  static constexpr size_t kMaxCompared = 40;
  static constexpr size_t kHomeCandidates = 4;
  static constexpr size_t kRandomCandidates = 6;

  // `directory` must outlive the picker. `own_domain` is this node's failure
  // domain, and `seed` that of the random numbers.
  ServerPicker(const ServerDirectory& directory,
               FailureDomainId own_domain,
               uint64_t seed);

  // Chooses a server. Fails with kNoServer when there is none, or with
  // kOverloaded and a time to retry after when the request is refused.
  Result<ServerPick> Choose(const PickQuery& query, TimePoint now);

  // The request was sent to the chosen server.
  void OnSent(const ServerPick& pick, const CallerRequest& request);
  // The response started, `waited` after the request was sent: its head arrived
  // or, for streams, its first event. `measurable` tells whether that shows the
  // prefill rate: the servers of `service` are engines, and this one computed
  // the prompt.
  void OnResponseStarted(const ServerPick& pick,
                         const std::string& service,
                         bool measurable,
                         Duration waited,
                         TimePoint now);
  // The attempt that began with OnSent ended. `response_started` tells whether
  // OnResponseStarted was called for it. Returns whether the server was
  // ejected.
  bool OnEnded(const ServerPick& pick,
               bool response_started,
               AttemptOutcome outcome,
               TimePoint now);
  // No connection to the server could be made, so nothing was sent. Returns
  // whether the server was ejected.
  bool OnUnreachable(const ServerId& server, TimePoint now);
  // The server refused a request of this node and asked for a pause.
  void OnPauseAsked(const ServerId& server, Duration pause, TimePoint now);
  // Whether this node may send the server nothing at `now`.
  bool IsPaused(const ServerId& server, TimePoint now) const;
  // Forgets the server's failures, cached prefixes and speed, e.g. because its
  // process restarted.
  void ResetServer(const ServerId& server);
  // Drops outdated reports of peers and updates the servers' speeds.
  void OnTick(TimePoint now);

  ServerPauses& pauses() { return pauses_; }
  ServerRateLimits& rate_limits() { return rate_limits_; }
  const ServerRateLimits& rate_limits() const { return rate_limits_; }
  ServerLoad& load() { return load_; }
  const ServerLoad& load() const { return load_; }
  ServerSpeeds& speeds() { return speeds_; }
  const ServerSpeeds& speeds() const { return speeds_; }
  // Returns the measured prefill rate of an engine of `service` with a speed
  // of 1, in tokens per millisecond.
  double PrefillRate(const std::string& service) const;
  // Returns the speeds of the usable servers of `service`.
  SpeedRange Speeds(const std::string& service) const;

 private:
  // A server with its estimates for the request.
  struct Candidate {
    const ServerRecord* server = nullptr;
    // Expected wait plus penalties, in milliseconds. The lowest score wins.
    double score = 0;
    double expected_ttfb_ms = 0;
    double prefill_tokens = 0;
    OutstandingWork outstanding;
    double speed = 1;
    double expected_gap_ms = 0;
  };

  // Why no server can be picked, as far as the servers themselves are the
  // reason.
  struct Unavailable {
    // Shortest time until one asked for a pause, or limited, takes a request.
    std::optional<Duration> shortest_wait;
    // A server that is at its rate limit; nullopt if there is none.
    std::optional<ServerId> limited;
    // Whether every server of the service has a rate limit.
    bool all_limited = true;
  };

  // Removes the servers that take no request now, or that were tried.
  Unavailable RemoveUnavailable(std::vector<const ServerRecord*>& servers,
                                const PickQuery& query,
                                TimePoint now);
  // Returns the servers to compare: not tried, not paused, within their rate
  // limits, not ejected if possible. Fails like Choose when there are none.
  Result<std::vector<const ServerRecord*>> EligibleServers(
      const PickQuery& query,
      TimePoint now);
  // Ranks the server as a home of the prompts with `home_key`; the highest rank
  // is the home. A server is the home of prompts in proportion to its weight.
  double HomeRank(uint64_t home_key, const ServerRecord& server) const;
  // Learns from the time to the first event of a request that was sent as
  // `pick`.
  void MeasurePrefill(const ServerPick& pick,
                      const std::string& service,
                      Duration waited,
                      TimePoint now);
  // Returns the penalty in the score of a server that asked a peer for a pause.
  double PeerPausePenalty(const ServerId& server, TimePoint now) const;
  // Returns the refusal for a request that no server takes before `wait`.
  Error WaitError(const PickQuery& query,
                  const std::string& reason,
                  Duration wait);
  // Returns the reason of a refusal for want of a permit, with the limit of
  // `limited` and its age.
  std::string DescribeLimit(const ServerId& limited, TimePoint now) const;
  // Reduces more than kMaxCompared servers to those to compare. `home_key`
  // identifies the prompt's home servers; nullopt for a request without prompt.
  void Shorten(std::vector<const ServerRecord*>& servers,
               std::optional<uint64_t> home_key);
  // Estimate the wait and the score of a server. `cached_tokens` of the prompt
  // are likely in its cache.
  Candidate AssessEngine(const ServerRecord& server,
                         const PickQuery& query,
                         double cached_tokens,
                         TimePoint now) const;
  Candidate AssessService(const ServerRecord& server, TimePoint now) const;
  // Returns the tokens that a prompt likely shares with others.
  static uint32_t SharedTokens(const std::vector<PromptPart>& parts);
  // Returns the home among `servers` of the prompts with `home_key`.
  const ServerRecord* HomeAmong(const std::vector<const ServerRecord*>& servers,
                                uint64_t home_key) const;
  // Fails with kOverloaded if the best candidate can't start in time.
  Result<ServerPick> CheckAdmission(const Candidate& best,
                                    const PickQuery& query) const;

  const ServerDirectory& directory_;
  FailureDomainId own_domain_;
  Rng rng_;
  ServerLoad load_;
  OutlierDetector outliers_;
  ServerPauses pauses_;
  ServerRateLimits rate_limits_;
  ServerUrgency urgency_;
  PrefixCacheEstimate prefix_cache_;
  ServerSpeeds speeds_;
  // Exponential average of the prefill rate of a server with a speed of 1, in
  // tokens per millisecond, by service.
  std::map<std::string, double> prefill_rates_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_PICKER_H_
