// Asks the system which node to use, and keeps the answer for its time to live.

#ifndef BENCHMARKS_DEMO_ENTRY_FINDER_H_
#define BENCHMARKS_DEMO_ENTRY_FINDER_H_

#include <map>
#include <string>
#include <vector>

#include "benchmarks/demo/demo_plan.h"
#include "benchmarks/demo/demo_work.h"
#include "qh_core/random/rng.h"

namespace qh::demo {

class EntryFinder {
 public:
  // `plan` outlives the object.
  EntryFinder(const DemoPlan& plan, uint64_t seed);

  // Returns the node to use for `item`; the `attempt`-th of those named, from
  // 0.
  Address Find(const WorkItem& item, uint32_t attempt);

  // Drops what is known for `item`: a node named there refused.
  void Forget(const WorkItem& item);

 private:
  struct Known {
    std::vector<Address> entries;
    TimePoint expires;
  };

  static std::string KeyOf(const WorkItem& item);
  Known Ask(const WorkItem& item);

  const DemoPlan& plan_;
  Rng rng_;
  // By team and conversation.
  std::map<std::string, Known> known_;
};

}  // namespace qh::demo

#endif  // BENCHMARKS_DEMO_ENTRY_FINDER_H_
