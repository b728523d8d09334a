// Drives both users' work through a running demo, reclaims one engine in the
// middle, and judges what came of it.

#ifndef BENCHMARKS_DEMO_DEMO_DRIVE_H_
#define BENCHMARKS_DEMO_DEMO_DRIVE_H_

#include <functional>

#include "benchmarks/demo/demo_plan.h"
#include "benchmarks/demo/demo_report.h"

namespace qh::demo {

struct DriveOptions {
  uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);
  uint32_t callers = 24;
  // Ends the engine with this id as a reclaim does.
  std::function<void(const std::string& engine)> stop_engine;
};

// Runs the work for `options.length` and fills `report`.
Result<void> Drive(const DemoPlan& plan,
                   const DriveOptions& options,
                   DemoReport& report);

// Waits up to `limit` until every node is ready. Fails with kNotReady.
Result<void> WaitReady(const DemoPlan& plan, Duration limit);

}  // namespace qh::demo

#endif  // BENCHMARKS_DEMO_DEMO_DRIVE_H_
