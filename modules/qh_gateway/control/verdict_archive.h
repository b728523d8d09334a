// Keeps the verdicts of CrashTracker in the platform's store: takes over what
// is stored there, and writes what StoredVerdicts asks for. The verdicts are
// objects of the kind that all nodes watch anyway, so that reading them costs
// the store no further calls.

#ifndef QH_GATEWAY_CONTROL_VERDICT_ARCHIVE_H_
#define QH_GATEWAY_CONTROL_VERDICT_ARCHIVE_H_

#include <optional>
#include <string>
#include <vector>

#include "qh_gateway/control/store_connection.h"
#include "qh_gateway/decisions/crash/stored_verdicts.h"
#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

class VerdictArchive {
 public:
  // Timeout of one write.
  static constexpr Duration kWriteTimeout = std::chrono::milliseconds(900);
  // Time between a failed write and the next one.
  static constexpr Duration kRetryDelay = std::chrono::seconds(1);

  // `kind` is the kind of the stored objects. `state` has to outlive the
  // archive.
  VerdictArchive(GatewayState& state, std::string kind);

  // All objects of the kind, as the store or a peer listed them. Objects that
  // are no verdicts are passed over.
  void OnList(const std::vector<StoredObject>& objects);
  // One object was added, changed or removed.
  void OnChange(const StoredObject& object);
  // Writes what is due, one object at a time. Only nodes that follow the store
  // write.
  void OnTick(TimePoint now, bool follows_store);
  // Drops the open call. Nothing is written afterwards.
  void Stop();

 private:
  void TakeOver(const StoredObject& object);
  void Send(const VerdictWrite& write);
  void OnWritten(const VerdictWrite& write, const CallReply& reply);
  // Times are stored as wall-clock time, which all nodes share.
  std::string Encode(const CrashVerdict& verdict) const;
  // Fails with kPeerMalformed.
  Result<CrashVerdict> Decode(const std::string& content) const;

  GatewayState& state_;
  std::string kind_;
  StoreConnection connection_;
  StoredVerdicts stored_;
  bool write_open_ = false;
  bool stopped_ = false;
  TimePoint no_write_before_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_VERDICT_ARCHIVE_H_
