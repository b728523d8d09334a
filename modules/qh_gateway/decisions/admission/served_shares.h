// How large a share of its requests each route, team and size class of a
// service was served recently, and which requests must therefore go first.
//
// Load pattern: long overload, in which an order by value alone would never
// serve the least valuable requests (starvation). Also keeps the order of
// routes: a more urgent route is served at least as often as a less urgent one.

#ifndef QH_GATEWAY_DECISIONS_ADMISSION_SERVED_SHARES_H_
#define QH_GATEWAY_DECISIONS_ADMISSION_SERVED_SHARES_H_

#include <map>
#include <string>

#include "qh_gateway/decisions/admission/admission_order.h"

namespace qh {

class ServedShares {
 public:
  // Requests count with a weight that decreases to 1/e in this time.
  static constexpr Duration kMemory = std::chrono::seconds(5);
  // A group is promoted below this multiple of the share of all requests.
  // docs/design/overload-and-rollouts.md requires a quarter; the rest is a
  // margin for groups with few requests.
  static constexpr double kGroupFloor = 0.3;
  // The largest tenth of a route is promoted below this multiple of the
  // route's share. The same document requires half.
  static constexpr double kLargeFloor = 0.55;
  // Largest value of Crowding. Less than the factor for a step of priority, so
  // that the priority decides first.
  static constexpr double kMaxCrowding = 3;

  // A request came; one that returned has been counted before. Returns whether
  // it is one of the largest tenth of its route.
  bool OnOffered(const AdmissionRequest& request, TimePoint now);
  // Returns whether the request must go before others, so that its groups get
  // their shares.
  bool MustPromote(const AdmissionRequest& request, bool large, TimePoint now);
  // Returns by how much the team asks for more than the others: 1 up to twice
  // the average of the teams, at most kMaxCrowding.
  double Crowding(const std::string& team, TimePoint now);
  // A promoted request waits, or (`waits` false) no longer waits. Promoted
  // requests count as served while they wait, so that no more are promoted
  // than a group lacks.
  void OnPromotedWaits(const AdmissionRequest& request, bool large, bool waits);
  // The request was sent to a server.
  void OnServed(const AdmissionRequest& request, bool large, TimePoint now);

 private:
  struct Share {
    void Decay(TimePoint now);
    // Part of the requests that was served. The request that is decided on
    // counts as served, so that the share of a group without refusals is 1.
    double ratio(TimePoint now);

    double offered = 0;
    double served = 0;
    uint32_t promoted_waiting = 0;
    TimePoint updated;
  };

  struct Route {
    int priority = 0;
    Share all;
    Share largest;
    // Logarithm of the work that nine tenths of the requests don't exceed.
    double log_large_ms = 0;
    uint32_t samples = 0;
  };

  // Calls `change` with each share that the request counts in.
  template <typename Change>
  void ForEachShare(const AdmissionRequest& request,
                    bool large,
                    const Change& change);

  Share all_;
  std::map<std::string, Route> routes_;
  std::map<std::string, Share> teams_;
  TimePoint cleaned_at_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ADMISSION_SERVED_SHARES_H_
