// One caller: sends a request, follows it to other nodes and checks the answer.

#ifndef BENCHMARKS_DEMO_DEMO_CALLER_H_
#define BENCHMARKS_DEMO_DEMO_CALLER_H_

#include <optional>
#include <string>

#include "benchmarks/demo/demo_work.h"
#include "benchmarks/demo/entry_finder.h"

namespace qh::demo {

enum class WorkOutcome {
  // The whole answer came, token by token the right one.
  kAnsweredWhole,
  // Refused with executed "no", also after retries.
  kRefused,
  // A stream ended without its end.
  kCutStream,
  // Any other end of an accepted request.
  kLost,
};

struct WorkResult {
  WorkOutcome outcome = WorkOutcome::kLost;
  // What went wrong, for the report.
  std::string detail;
  // Time to the first token; streams that were neither retried nor moved.
  std::optional<Duration> first_token;
  // Times that the request went on at another node.
  uint32_t moves = 0;
  uint32_t retries = 0;
};

class DemoCaller {
 public:
  DemoCaller(const DemoPlan& plan, uint64_t seed);

  // Runs `item` to its end.
  WorkResult Run(const WorkItem& item);

 private:
  EntryFinder finder_;
};

}  // namespace qh::demo

#endif  // BENCHMARKS_DEMO_DEMO_CALLER_H_
