// Decides whether a request is dispatched, waits in the node or is refused. A
// request that can't have its first part in time is refused at once, with the
// time after which it could. Nothing that was given up on is held back.

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
  // The request; of kAdmit and kRefuse.
  RouteQuery query;
  // Where to send it; of kAdmit.
  RouteChoice choice;
  // Why not; of kRefuse. The request was not run.
  ErrorKind error = ErrorKind::kOverloaded;
  // When the request could be served; of kRefuse.
  Duration retry_after{};
};

struct AdmissionOptions {
  // Requests that wait in the node, per class.
  size_t interactive_queue = 256;
  size_t batch_queue = 256;
  size_t service_queue = 256;
  // Share of a server's limit that batch may fill; the rest is kept for
  // interactive work.
  double batch_share = 0.8;
  // Times a server's limit that the other classes may fill: what is above the
  // limit waits in the engine, where it starts without a gap.
  double urgent_share = 1.25;
  // First parts of interactive requests that are later than this are late.
  // Zero: only the deadline counts.
  Duration interactive_target = std::chrono::milliseconds(630);
  // Share of the admitted interactive requests that may be late; a request
  // expected to be late beyond it is refused.
  double late_share = 0.04;
};

// How Admission reaches the node's router.
struct AdmissionHooks {
  // Chooses a server; Router::Choose.
  std::function<Result<RouteChoice>(const RouteQuery&)> choose;
  // Counts the request as in flight; Router::OnDispatched. Called for every
  // kAdmit verdict before the next choice.
  std::function<void(const RouteQuery&, const RouteChoice&)> on_admitted;
};

class Admission {
 public:
  Admission(AdmissionOptions options, uint64_t seed);

  // Takes over the teams' weights.
  void SetTeams(const std::vector<Team>& teams);

  // Decides on a request that just arrived. `query.deadline` is when its caller
  // stops waiting for the first part. The verdict is for this request; one that
  // lost its place in the queue to it is returned by the next Advance.
  AdmissionDecision OnArrival(const RouteQuery& query,
                              const AdmissionHooks& hooks,
                              TimePoint now);

  // Dispatches waiting requests that found room and refuses those that can't
  // make it any more. After every end of a request and several times a second.
  std::vector<AdmissionDecision> Advance(const AdmissionHooks& hooks,
                                         TimePoint now);

  // The first part of an admitted request came `waited` after its arrival.
  void OnFirstByte(const RouteQuery& query, Duration waited);

  // The caller of a waiting request is gone.
  void OnCallerGone(const RequestId& request);

  size_t waiting() const;

 private:
  static constexpr size_t kClasses = 3;

  FairQueue& QueueOf(RequestClass request_class);
  const FairQueue& QueueOf(RequestClass request_class) const;
  bool HasRoom(const RouteQuery& query, const RouteChoice& choice) const;
  bool HasTarget(const RouteQuery& query) const;
  // When the first part must come, by deadline and, without late credit, by the
  // latency target.
  TimePoint LatestFirstPart(const RouteQuery& query, TimePoint arrived) const;
  void TakeLateCredit(const RouteQuery& query,
                      TimePoint arrived,
                      TimePoint expected);
  void RefuseLost(FairQueue& queue,
                  TimePoint now,
                  std::vector<AdmissionDecision>& verdicts);
  double ExpectedWait(const RouteQuery& query) const;
  bool IsFirstInLine(const RouteQuery& query) const;
  AdmissionDecision Refuse(const RouteQuery& query,
                           ErrorKind error,
                           double late_seconds);
  void CountAdmission(const RouteQuery& query, TimePoint now);

  AdmissionOptions options_;
  Rng rng_;
  // By RequestClass.
  std::array<FairQueue, kClasses> queues_;
  // Smoothed seconds between two admissions from a queue, by class.
  std::array<double, kClasses> pace_seconds_{};
  std::array<TimePoint, kClasses> last_admission_{};
  // Late first parts that may still be had; within a cap either way.
  double late_credit_ = 0;
  // Admitted requests whose lateness was expected and is taken off the credit.
  std::unordered_set<RequestId> expected_late_;
  // Refusals that the next Advance returns.
  std::vector<AdmissionDecision> pending_;
};

}  // namespace qh

#endif  // QH_ROUTING_ADMISSION_ADMISSION_H_
