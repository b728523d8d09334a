// The faults of a run as timed events on servers.

#ifndef BENCHMARKS_ROUTING_FAULTS_H_
#define BENCHMARKS_ROUTING_FAULTS_H_

#include <vector>

#include "benchmarks/routing/deployment.h"
#include "benchmarks/routing/traffic.h"

namespace qh::bench {

enum class Fault {
  kNone,
  kDomainReclaim,
  kWave,
  kStaleLoad,
  kBrownout,
  kHotPrefix,
};

}  // namespace qh::bench

namespace qh {

template <>
inline constexpr EnumName<bench::Fault> kEnumNames<bench::Fault>[] = {
    {bench::Fault::kNone, "none"},
    {bench::Fault::kDomainReclaim, "domain-reclaim"},
    {bench::Fault::kWave, "wave"},
    {bench::Fault::kStaleLoad, "stale-load"},
    {bench::Fault::kBrownout, "brownout"},
    {bench::Fault::kHotPrefix, "hot-prefix"},
};

}  // namespace qh

namespace qh::bench {

enum class FaultEventKind {
  // Nodes learn that the server leaves, each after a delay of its own.
  kNotice,
  // The server stops; its requests and its cache are lost.
  kDown,
  // A replacement with an empty cache is there.
  kUp,
  // The server's steps last `factor` times as long; its reports name `factor`
  // times less load.
  kSlow,
  // Load reports and cache events of all servers come `factor` seconds late.
  kReportLag,
};

struct FaultEvent {
  TimePoint at;
  FaultEventKind kind = FaultEventKind::kDown;
  uint32_t server = 0;
  double factor = 1;
};

// Returns the events of `fault`; `rng` picks the servers.
std::vector<FaultEvent> PlanFault(Fault fault,
                                  const Deployment& deployment,
                                  Rng& rng);

// Adds the fault's part in the traffic.
void AddToTraffic(Fault fault, TrafficOptions& options);

}  // namespace qh::bench

#endif  // BENCHMARKS_ROUTING_FAULTS_H_
