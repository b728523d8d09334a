// Where objects of another module join the control search: they are started
// with every node, hear of its end, and add their own keys to the result.

#ifndef BENCHMARKS_CONTROL_CONTROL_PART_H_
#define BENCHMARKS_CONTROL_CONTROL_PART_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>

#include "benchmarks/control/control_store.h"
#include "qh_membership/member.h"

namespace qh::control {

struct ControlPart {
  // A node started or restarted; use FakeNetwork::AtInstance for its timers.
  std::function<void(const Member&, FakeNetwork&, ControlStore&)> on_start;
  // A node was killed.
  std::function<void(const InstanceId&)> on_kill;
  // The run is over: add keys to the result.
  std::function<void(nlohmann::json&)> add_results;
};

}  // namespace qh::control

#endif  // BENCHMARKS_CONTROL_CONTROL_PART_H_
