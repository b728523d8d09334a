// Bounds the requests that one node sends to a version that may be bad, so that
// all nodes together stay within the exposure bound. Load pattern: a rollout at
// 1 to 118 nodes, each of which sees few requests and learns of the others'
// with a delay.
//
// A node sends at most a share of its own requests, plus its part of the
// tolerance. The sum over all nodes then keeps the same share of all requests,
// whatever the nodes know of each other: the bound needs no reports, and so
// holds through delays, partitions and restarts.

#ifndef QH_GATEWAY_DECISIONS_ROLLOUT_EXPOSURE_BUDGET_H_
#define QH_GATEWAY_DECISIONS_ROLLOUT_EXPOSURE_BUDGET_H_

#include <cstdint>

#include "qh_gateway/decisions/rollout/rollout_types.h"

namespace qh {

class ExposureBudget {
 public:
  // Share of the users' tolerance that the nodes use in normal operation. The
  // rest is used by nodes that can no longer go back to the old version, and
  // covers node counts that were too low.
  static constexpr double kToleranceShare = 0.5;

  explicit ExposureBudget(const RolloutBounds& bounds) : bounds_(bounds) {}

  // Sets the number of nodes that divide the tolerance; a lower number than
  // before is ignored. Nodes that started after the order don't call it: they
  // have no part, so that restarts don't add to the sum.
  void SetNodes(size_t nodes);
  // The first attempt of a request is sent to the service, at either version.
  void OnRequest() { ++requests_; }
  // An attempt is sent to the new version.
  void OnExposed() { ++exposed_; }

  // Whether one more attempt may be sent to the new version.
  bool Allows() const { return Remaining() >= 1; }
  // The same for a node that can't go back to the old version: it may also use
  // the rest of its part of the tolerance.
  bool AllowsLast() const { return Remaining() + Tolerance() >= 1; }
  // Attempts that may still be sent to the new version, beside the share of
  // later requests.
  double Remaining() const;

  uint64_t requests() const { return requests_; }
  uint64_t exposed() const { return exposed_; }

 private:
  // The node's part of the tolerance in normal operation.
  double Tolerance() const;

  RolloutBounds bounds_;
  // Zero while the node has no part of the tolerance.
  size_t nodes_ = 0;
  uint64_t requests_ = 0;
  // Never above exposure_share * requests_ plus the node's part of the
  // tolerance.
  uint64_t exposed_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ROLLOUT_EXPOSURE_BUDGET_H_
