// The demo's part of the cloud: lists instances and gives reclaim notices.

#ifndef BENCHMARKS_DEMO_DEMO_CLOUD_H_
#define BENCHMARKS_DEMO_DEMO_CLOUD_H_

#include <string>

#include "benchmarks/demo/demo_plan.h"

namespace qh::demo {

// Puts every instance of the plan on the platform's list. Fails with
// kStoreUnavailable.
Result<void> ListInstances(const DemoPlan& plan);

// Gives `instance` a reclaim notice of `notice`. Fails with kStoreUnavailable.
Result<void> GiveNotice(const DemoPlan& plan,
                        const std::string& instance,
                        Duration notice);

}  // namespace qh::demo

#endif  // BENCHMARKS_DEMO_DEMO_CLOUD_H_
