// HTTP server for callers: entry lookup, chat completions, plain services and
// request status.

#ifndef QH_NODE_CALLERS_CALLER_SERVER_H_
#define QH_NODE_CALLERS_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "qh_config/configuration.h"
#include "qh_membership/entry_locator.h"
#include "qh_metrics/metrics_registry.h"
#include "qh_node/serving/request_runner.h"
#include "qh_node/serving/request_table.h"

namespace qh {

// Calls from the caller server to the rest of the node. All are thread safe.
struct CallerHooks {
  // Returns the configuration in force, or null if there is none yet.
  std::function<ConfigurationPtr()> configuration;
  // Returns every known member, this node included.
  std::function<std::vector<Member>()> members;
  // Succeeds if new requests are accepted. Fails with kNotReady or kDraining.
  std::function<Result<void>()> accepting;
  std::function<RequestId()> new_request_id;
};

class CallerServer {
 public:
  // Binds `address` and serves until Stop or destruction. Fails with kInternal
  // if the address can't be bound.
  static Result<std::unique_ptr<CallerServer>> Start(const Address& address,
                                                     const NodeLimits& limits,
                                                     CallerHooks hooks,
                                                     RequestTable& table,
                                                     RequestRunner& runner,
                                                     MetricsRegistry& metrics);
  ~CallerServer();

  // Stops accepting connections and waits until all running answers have ended.
  void Stop();

 private:
  class Impl;
  explicit CallerServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace qh

#endif  // QH_NODE_CALLERS_CALLER_SERVER_H_
