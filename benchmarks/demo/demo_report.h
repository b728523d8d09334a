// What came of the demo's requests, and whether the promises held.

#ifndef BENCHMARKS_DEMO_DEMO_REPORT_H_
#define BENCHMARKS_DEMO_DEMO_REPORT_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "benchmarks/demo/demo_caller.h"

namespace qh::demo {

// Counts of executions by idempotency key, over all services.
using Executions = std::map<std::string, uint32_t>;

// Thread safe until it is read.
class DemoReport {
 public:
  void Add(const WorkItem& item, const WorkResult& result);
  // Adds a time to the first token measured at an engine without a node.
  void AddDirect(Duration first_token);

  // Compares what callers were told with what the services ran.
  void Judge(const Executions& executions);

  // Returns the table for people, and what went wrong.
  std::string Table() const;
  // Returns the JSON object for scripts.
  std::string Json() const;
  // Returns whether every promise held and each kind of work was answered.
  bool held() const;

 private:
  struct Row {
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;
    uint64_t cut = 0;
    uint64_t lost = 0;
    uint64_t moves = 0;
    uint64_t retries = 0;
  };

  Row Total() const;
  void Complain(const std::string& text);
  double AddedMs(double quantile) const;

  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  std::map<WorkKind, Row> rows_;
  // How each booking ended for its caller.
  std::map<std::string, WorkOutcome> bookings_;
  std::vector<Duration> first_tokens_;
  std::vector<Duration> direct_;
  uint64_t duplicates_run_ = 0;
  // Bookings that were refused with executed "no" and ran.
  uint64_t dishonest_refusals_ = 0;
  // Bookings answered but not run.
  uint64_t answered_not_run_ = 0;
  std::vector<std::string> complaints_;
};

}  // namespace qh::demo

#endif  // BENCHMARKS_DEMO_DEMO_REPORT_H_
