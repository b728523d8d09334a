// Chooses the server that a request goes to. Model engines: the one whose first
// event is expected soonest, from what is open there, what of the prompt it has
// read and how fast engines have been; servers that prompts call home go first
// among near equals. Plain services: the one with least open per slot. A
// request that no server can begin in time is refused here. No I/O, no clock.

#ifndef QH_GATEWAY_DECISIONS_SERVER_PICKER_H_
#define QH_GATEWAY_DECISIONS_SERVER_PICKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/outlier_detector.h"
#include "qh_gateway/decisions/prefix_cache_estimate.h"
#include "qh_gateway/decisions/server_directory.h"
#include "qh_gateway/decisions/server_load.h"
#include "qh_gateway/model/caller_request.h"
#include "qh_gateway/model/service_config.h"

namespace qh {

struct PickQuery {
  const RouteRule* route = nullptr;
  const ServiceRule* service = nullptr;
  const CallerRequest* request = nullptr;
  // Servers that this request has been to.
  std::set<ServerId> tried_servers;
  // Time that the caller still waits.
  Duration time_left = Duration::zero();
  // Whether nothing of the answer has reached the caller.
  bool first_attempt = true;
};

struct ServerPick {
  ServerId server;
  // Expected time to the first part of the answer.
  Duration expected_ttfb = Duration::zero();
  // Prompt tokens that the server has to read.
  double prefill_tokens = 0;
  // What was open there, this node's and its peers'.
  OutstandingWork outstanding;
};

class ServerPicker {
 public:
  // How much longer a first event may be expected to take than the route asks
  // for before the request is refused; a request further down the ranks gives
  // way earlier.
  static constexpr double kMaxLateness = 4.0;
  // Part of the time left within which the first part must be expected.
  static constexpr double kUsableTimeShare = 0.7;
  // Servers compared for one request; a part drawn at random beyond that.
  static constexpr size_t kMaxCandidates = 40;

  ServerPicker(const ServerDirectory& directory,
               FailureDomainId own_domain,
               uint64_t seed);

  // Fails with kNoServer, or with kOverloaded and the time after which it could
  // go better.
  Result<ServerPick> Choose(const PickQuery& query, TimePoint now);

  // The request was sent as picked.
  void OnSent(const ServerPick& pick, const CallerRequest& request);
  // The first part of the answer came after `waited`.
  void OnResponseStarted(const ServerPick& pick,
                         const std::string& service,
                         bool engine,
                         Duration waited);
  // Ends what OnSent began. `read` tells whether the first part had come.
  // Returns whether the server was put aside.
  bool OnEnded(const ServerPick& pick,
               bool response_started,
               AttemptOutcome outcome,
               TimePoint now);
  // A server could not be connected to; nothing was sent.
  bool OnUnreachable(const ServerId& server, TimePoint now);
  // What was known of a server is void.
  void ResetServer(const ServerId& server);
  void OnTick(TimePoint now);

  ServerLoad& load() { return load_; }
  const ServerLoad& load() const { return load_; }
  // Prompt tokens that an engine of `service` reads in a millisecond, as
  // measured.
  double PrefillRate(const std::string& service) const;

 private:
  struct Candidate {
    const ServerRecord* server = nullptr;
    // Smaller is better; milliseconds.
    double score = 0;
    double expected_ttfb_ms = 0;
    double prefill_tokens = 0;
    OutstandingWork outstanding;
  };

  std::vector<const ServerRecord*> EligibleServers(const PickQuery& query,
                                                   TimePoint now);
  Candidate AssessEngine(const ServerRecord& server,
                         const PickQuery& query,
                         const std::vector<uint64_t>& prefixes,
                         TimePoint now) const;
  Candidate AssessService(const ServerRecord& server, TimePoint now) const;
  void AssumeSharedPrefixCached(Candidate& home, const PickQuery& query) const;
  Result<ServerPick> CheckAdmission(const Candidate& best,
                                    const PickQuery& query) const;

  const ServerDirectory& directory_;
  FailureDomainId own_domain_;
  Rng rng_;
  ServerLoad load_;
  OutlierDetector outliers_;
  PrefixCacheEstimate prefix_cache_;
  // Smoothed tokens read per millisecond, by service.
  std::map<std::string, double> prefill_rates_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_SERVER_PICKER_H_
