// Finds out since when the store has kept all that was written to it. A store
// that was restored from an older copy has lost what was written since, and a
// process that starts after that can't tell a lost object from one that was
// never written. The first leader of each epoch therefore stores when the epoch
// was noticed; what was written later can't be lost.

#ifndef QH_GATEWAY_CONTROL_STORE_EPOCH_RECORD_H_
#define QH_GATEWAY_CONTROL_STORE_EPOCH_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "qh_gateway/control/store_connection.h"
#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

class StoreEpochRecord {
 public:
  // Timeout of one call, and the delay after a failed one.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

  // `state` and `store` have to outlive the record.
  StoreEpochRecord(GatewayState& state, StoreConnection& store);

  // The store's epoch became known or rose; `restored` tells whether this
  // process has seen an earlier one. Calls of the earlier epoch were dropped.
  void OnEpoch(uint64_t epoch, bool restored);
  // Reads the record of the epoch, or writes it, unless that is done or being
  // done. To be called repeatedly while this node is the leader.
  void Resolve(TimePoint now);

  // Whether lost_before is known. A store without epochs is never restored.
  bool is_resolved() const { return !epoch_ || lost_before_; }
  // What was written before this wall-clock time may be lost; zero if nothing
  // is.
  Duration lost_before() const { return lost_before_.value_or(Duration(0)); }

 private:
  void Read();
  void OnRead(const CallReply& reply);
  void Write();
  void OnWritten(const CallReply& reply);
  void LogFailure(const Error& error) const;
  // Logs why a call failed, and delays the next one.
  void RetryAfter(const Error& error);
  // Name of the object that holds the record of this epoch.
  std::string name() const;
  // The wall-clock time before which the store was restored, as far as this
  // process knows by itself; zero if it wasn't.
  Duration OwnBound() const;

  GatewayState& state_;
  StoreConnection& store_;
  std::optional<uint64_t> epoch_;
  // When this process noticed the epoch.
  TimePoint noticed_;
  // The deployment has just started for the first time: nothing was written
  // that could be lost.
  bool starts_empty_ = false;
  std::optional<Duration> lost_before_;
  bool call_open_ = false;
  TimePoint no_call_before_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_STORE_EPOCH_RECORD_H_
