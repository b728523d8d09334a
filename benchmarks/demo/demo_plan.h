// What the demo starts: stand-ins for every server of a configuration folder,
// the platform's stand-in and five nodes, each at a free loopback address.

#ifndef BENCHMARKS_DEMO_DEMO_PLAN_H_
#define BENCHMARKS_DEMO_DEMO_PLAN_H_

#include <string>
#include <vector>

#include "qh_config/configuration.h"
#include "qh_config/node_settings.h"
#include "qh_core/errors/result.h"

namespace qh::demo {

// A team with a plain key, from the demo's own file.
struct TeamKey {
  TeamId team;
  std::string key;
};

struct DemoPlan {
  // The folder's configuration with every server moved to a free address.
  Configuration config;
  Address platform;
  std::vector<NodeSettings> nodes;
  std::vector<TeamKey> keys;
};

// Plans the demo of the folder `config` and writes all files that it needs into
// `work`: "config/" (the folder and a last file with the new addresses),
// "nodes/<id>.json", "token", "plan.json", and "processes" with a line
// "<name> <program> <arguments>" for each process. Fails with kConfigInvalid.
Result<void> WritePlan(const std::string& config, const std::string& work);

// Reads what WritePlan wrote. Fails with kConfigInvalid.
Result<DemoPlan> ReadPlan(const std::string& work);

}  // namespace qh::demo

#endif  // BENCHMARKS_DEMO_DEMO_PLAN_H_
