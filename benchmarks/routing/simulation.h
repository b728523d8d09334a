// Runs one policy over the given traffic and fault in virtual time: nodes that
// choose at once, engine fakes, reports and digests that lag.

#ifndef BENCHMARKS_ROUTING_SIMULATION_H_
#define BENCHMARKS_ROUTING_SIMULATION_H_

#include <memory>
#include <queue>
#include <string>
#include <unordered_set>
#include <vector>

#include "benchmarks/routing/faults.h"
#include "benchmarks/routing/policy.h"
#include "benchmarks/routing/run_result.h"

namespace qh::bench {

struct SimulationOptions {
  std::string policy = "product";
  uint64_t seed = 1;
  Duration length = std::chrono::seconds(150);
  // Whether servers' cache events reach the nodes.
  bool cache_events = true;
};

class Simulation {
 public:
  Simulation(const Deployment& deployment,
             const std::vector<Turn>& turns,
             std::vector<uint64_t> tokens_per_minute,
             std::vector<FaultEvent> faults,
             SimulationOptions options);

  RunResult Run();

 private:
  enum class EventKind {
    kArrival,
    kRetry,
    kStep,
    kReport,
    kDeliverReport,
    kDeliverCacheEvent,
    kDigest,
    kDeliverDigest,
    kTick,
    kFault,
    kSetLeaving,
    kTimeout,
  };

  struct Event {
    TimePoint at;
    uint64_t order = 0;
    EventKind kind = EventKind::kTick;
    // Turn, server or node, by kind.
    uint32_t a = 0;
    uint32_t b = 0;
    // Position in payloads, by kind.
    uint64_t payload = 0;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // Where a turn is now.
  struct Live {
    Job job;
    // Server it runs on, if any.
    bool dispatched = false;
    uint32_t server = 0;
    // Beginning that an earlier request had computed when it was dispatched.
    uint32_t known = 0;
    uint32_t prompt_tokens = 0;
    bool over = false;
  };

  void Push(TimePoint at,
            EventKind kind,
            uint32_t a = 0,
            uint32_t b = 0,
            uint64_t payload = 0);
  void Handle(const Event& event);
  void Arrive(uint32_t turn);
  void Apply(uint32_t node, const PolicyActions& actions);
  void Dispatch(const PolicyAction& action);
  void Refuse(uint32_t turn, ErrorKind error);
  void Timeout(uint32_t turn);
  void Fail(uint32_t turn, DispatchOutcome end);
  void OnFirstToken(uint32_t turn, uint32_t cached);
  void OnToken(uint32_t turn, Duration gap);
  void OnDone(uint32_t turn);
  void ScheduleStep(uint32_t server);
  void Report(uint32_t server);
  void OnCacheEvent(uint32_t server,
                    bool stored,
                    const std::vector<uint64_t>& blocks);
  void ApplyFault(const FaultEvent& fault);
  void SendDigest(uint32_t node);
  Duration ReportLag();
  FakeEngineHooks HooksOf(uint32_t server);
  uint32_t KnownTokens(const Turn& turn) const;

  const Deployment& deployment_;
  const std::vector<Turn>& turns_;
  std::vector<FaultEvent> faults_;
  SimulationOptions options_;
  Rng rng_;
  TimePoint now_;
  uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Policy>> nodes_;
  std::vector<FakeEngine> engines_;
  // End of the step that has an event, by server.
  std::vector<TimePoint> scheduled_;
  // Factor of kSlow, by server; times that it came up; price counted up to.
  std::vector<double> slow_;
  std::vector<TimePoint> up_since_;
  std::vector<Live> live_;
  // Leaving servers, and as each node sees them.
  std::vector<bool> leaving_;
  std::vector<LoadReport> reports_;
  std::vector<CacheEvent> cache_events_;
  std::vector<DemandDigest> digests_;
  double report_lag_seconds_ = 1;
  // Blocks that some server computed.
  std::unordered_set<uint64_t> seen_;
  RunResult result_;
};

}  // namespace qh::bench

#endif  // BENCHMARKS_ROUTING_SIMULATION_H_
