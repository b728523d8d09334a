// Admission control: decides whether a request is dispatched, waits in the node
// or is refused.
//
// A request that is not expected to get its first byte in time is refused at
// once, with the time after which a retry could succeed. A waiting request is
// refused as soon as its deadline is out of reach.

#ifndef QH_ROUTING_ADMISSION_ADMISSION_H_
#define QH_ROUTING_ADMISSION_ADMISSION_H_

#include <array>
#include <functional>
#include <unordered_set>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_routing/admission/fair_queue.h"

namespace qh {

enum class AdmissionDecisionKind { kAdmit, kQueue, kRefuse };

struct AdmissionDecision {
  AdmissionDecisionKind kind = AdmissionDecisionKind::kAdmit;
  RequestId request;
  // The request. Set for kAdmit and kRefuse.
  RouteQuery query;
  // The chosen server. Set for kAdmit.
  RouteChoice choice;
  // Why the request was refused without being run. Set for kRefuse.
  ErrorKind error = ErrorKind::kOverloaded;
  // Time after which a retry could succeed. Set for kRefuse.
  Duration retry_after{};
};

struct AdmissionOptions {
  // Most requests that wait in the node, per class.
  size_t interactive_queue = 256;
  size_t batch_queue = 256;
  size_t service_queue = 256;
  // Share of a server's limit that batch requests may fill. The rest is kept
  // for interactive requests.
  double batch_share = 0.8;
  // Multiple of a server's limit that the other classes may fill. Requests
  // above the limit queue in the engine, which starts them without a gap.
  double overcommit_factor = 1.25;
  // Target of the time to first byte of interactive requests; later ones are
  // late. With zero, only the deadline counts.
  Duration interactive_ttfb_target = std::chrono::milliseconds(630);
  // Share of the admitted interactive requests that may be late. Beyond it, a
  // request that is expected to be late is refused.
  double max_late_share = 0.04;
};

// Functions through which Admission uses the node's router.
struct AdmissionHooks {
  // Chooses a server, with Router::Choose.
  std::function<Result<RouteChoice>(const RouteQuery&)> choose;
  // Counts the request as in flight, with Router::OnDispatched. Called for
  // every kAdmit decision before the next call of `choose`.
  std::function<void(const RouteQuery&, const RouteChoice&)> on_admitted;
};

// No I/O, no clock. Not thread safe.
class Admission {
 public:
  // `seed` seeds the jitter of the retry times.
  Admission(AdmissionOptions options, uint64_t seed);

  // Sets the weights of the teams.
  void SetTeams(const std::vector<Team>& teams);

  // Decides on a request that just arrived. `query.deadline` is when its caller
  // stops waiting for the first byte. If the request takes the place of another
  // one in a full queue, the next Advance returns the refusal of the other one.
  AdmissionDecision OnArrival(const RouteQuery& query,
                              const AdmissionHooks& hooks,
                              TimePoint now);

  // Admits waiting requests for which there is capacity, and refuses those
  // whose deadline is out of reach. Call it whenever a request ends, and
  // several times a second.
  std::vector<AdmissionDecision> Advance(const AdmissionHooks& hooks,
                                         TimePoint now);

  // The first byte of an admitted request arrived `ttfb` after the request did.
  void OnFirstByte(const RouteQuery& query, Duration ttfb);

  // Removes a waiting request whose caller has disconnected.
  void OnCallerGone(const RequestId& request);

  // Number of waiting requests of all classes.
  size_t waiting() const;

 private:
  static constexpr size_t kClasses = 3;

  FairQueue& QueueOf(RequestClass request_class);
  const FairQueue& QueueOf(RequestClass request_class) const;
  bool HasCapacity(const RouteQuery& query, const RouteChoice& choice) const;
  bool HasLatencyTarget(const RouteQuery& query) const;
  // Returns when the first byte of a request that arrived at `arrived` is due:
  // by its deadline and, without late credit, by the latency target.
  TimePoint FirstByteDeadline(const RouteQuery& query, TimePoint arrived) const;
  // Updates late_credit_ for an admitted request. `expected` is when its first
  // byte is expected.
  void UpdateLateCredit(const RouteQuery& query,
                        TimePoint arrived,
                        TimePoint expected);
  // Refuses the requests in `queue` whose deadline is out of reach.
  void RefuseUnreachable(FairQueue& queue,
                         TimePoint now,
                         std::vector<AdmissionDecision>& decisions);
  // Expected seconds in the queue for a new request.
  double ExpectedWait(const RouteQuery& query) const;
  // Whether no request waits that would go before this one.
  bool IsNextInOrder(const RouteQuery& query) const;
  // Returns a refusal with a retry time of `retry_seconds` and jitter.
  AdmissionDecision Refuse(const RouteQuery& query,
                           ErrorKind error,
                           double retry_seconds);
  // Updates the interval between admissions.
  void RecordAdmission(const RouteQuery& query, TimePoint now);

  AdmissionOptions options_;
  Rng rng_;
  // By RequestClass, which is in order of urgency.
  std::array<FairQueue, kClasses> queues_;
  // Smoothed seconds between two admissions from a queue, by class.
  std::array<double, kClasses> admission_interval_seconds_{};
  std::array<TimePoint, kClasses> last_admission_{};
  // Number of late first bytes that are still allowed. Within kMaxLateCredit
  // either way.
  double late_credit_ = 0;
  // Admitted requests that are expected to be late and already subtracted from
  // the credit.
  std::unordered_set<RequestId> expected_late_;
  // Refusals that the next Advance returns.
  std::vector<AdmissionDecision> pending_;
};

}  // namespace qh

#endif  // QH_ROUTING_ADMISSION_ADMISSION_H_
