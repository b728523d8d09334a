// A small seeded model of a service that is short of capacity: a few servers
// with slots and queues in order of arrival, one node before them, and callers
// that come back once when they are asked to early enough.

#ifndef TESTS_QH_GATEWAY_ADMISSION_MODEL_H_
#define TESTS_QH_GATEWAY_ADMISSION_MODEL_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/admission/service_times.h"
#include "qh_gateway/decisions/admission/wait_queue.h"

namespace qh {

struct ModelRequest {
  double at_ms = 0;
  std::string route;
  std::string team;
  int priority = 0;
  double work_ms = 30;
  double target_ms = 150;
  double deadline_ms = 1'500;
};

struct ModelPattern {
  std::string name;
  size_t servers = 4;
  size_t slots = 6;
  // Requests per slot up to which the node sends to a server while it holds
  // the others; nullopt for what ServiceTimes says.
  std::optional<double> hold_per_slot;
  // Part of the servers that serve at a time.
  std::function<double(double at_ms)> capacity = [](double) { return 1.0; };
  // In order of arrival.
  std::vector<ModelRequest> requests;
};

struct ModelPolicy {
  // Whether the node has a queue. Without one it sends up to 4.5 requests per
  // slot and refuses the others, in order of arrival.
  bool queue = true;
  WaitQueue::Options options;
};

// What the callers of a group got.
struct ModelOutcome {
  size_t offered = 0;
  // Started within the latency target.
  size_t in_time = 0;
  // Started later.
  size_t late = 0;
  // Not served by the deadline, also after a return.
  size_t refused = 0;
  // Refused after having been held for more than an eighth of the target.
  size_t held_in_vain = 0;

  double served() const {
    return offered == 0 ? 1 : static_cast<double>(in_time + late) / offered;
  }
  double in_time_share() const {
    return offered == 0 ? 1 : static_cast<double>(in_time) / offered;
  }
};

struct ModelResult {
  ModelOutcome all;
  // Keys are "route R", "team T" and "large R": the route's largest tenth.
  std::map<std::string, ModelOutcome> groups;
  // Most callers that came back within the same 10 ms.
  size_t most_returns = 0;

  // Returns the groups that are served less than a quarter as often as all, or
  // large ones less than half as often as their route.
  std::vector<std::string> Starved() const;
};

ModelResult RunModel(const ModelPattern& pattern, const ModelPolicy& policy);

// Appends requests of `route` at `per_s` a second, in [from_ms, to_ms), with
// work between the bounds.
struct ModelStream {
  ModelRequest request;
  double per_s = 1;
  double from_ms = 0;
  double to_ms = 1'000;
  double max_work_ms = 30;
};
std::vector<ModelRequest> MakeRequests(const std::vector<ModelStream>& streams,
                                       uint64_t seed);

}  // namespace qh

#endif  // TESTS_QH_GATEWAY_ADMISSION_MODEL_H_
