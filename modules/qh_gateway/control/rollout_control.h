// Connects the decisions on rollouts with the store: reads the orders and their
// status, and writes the status while this node holds the lease. Each write is
// conditional on the object that was read just before, so that a late write of
// an earlier lease holder has no effect.

#ifndef QH_GATEWAY_CONTROL_ROLLOUT_CONTROL_H_
#define QH_GATEWAY_CONTROL_ROLLOUT_CONTROL_H_

#include <map>
#include <string>
#include <vector>

#include "qh_gateway/control/store_connection.h"
#include "qh_gateway/decisions/store/latest_objects.h"
#include "qh_gateway/decisions/store/store_mirror.h"
#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

class RolloutControl {
 public:
  // Timeout of one call.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
  // Time between a failed call and the next one.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

  // `state` has to outlive this object.
  explicit RolloutControl(GatewayState& state);

  // All orders in the store, or those that were added, changed or removed.
  void OnUpdate(const StoreUpdate& update);
  // Evaluates the rollouts and logs their steps; writes a status that is due if
  // this node `may_write`, that is holds the lease with time left for a call.
  // `known_nodes` includes this one; `uptime` is that of the process.
  void OnTick(size_t known_nodes,
              bool may_write,
              Duration uptime,
              TimePoint now);
  // Sets the gauges of all rollouts.
  void SetMetrics(TimePoint now);
  // Drops the open call. Nothing is written afterwards.
  void Stop();

 private:
  void OnList(const StoreUpdate& list);
  void OnObject(const StoredObject& object);
  void OnRemoved(const std::string& name, const StoreVersion& version);
  // Decodes an object; logs one whose order or status can't be read.
  StoredRollout Read(const StoredObject& object);
  // Reads the object anew, and writes the status that it then needs.
  void StartWrite(const RolloutWrite& write);
  // `known` is the object's version when it was asked for.
  void OnRead(const std::string& name,
              const StoreVersion& known,
              const CallReply& reply);
  void OnWritten(const RolloutWrite& write, const CallReply& reply);
  void EndWrite(bool succeeded);

  GatewayState& state_;
  StoreConnection connection_;
  bool may_write_ = false;
  bool write_open_ = false;
  bool stopped_ = false;
  TimePoint no_write_before_;
  // The orders, as the watch, own reads and own writes have shown them.
  LatestObjects objects_;
  // Revision of each object that was last logged as unreadable, by name.
  std::map<std::string, uint64_t> logged_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_ROLLOUT_CONTROL_H_
