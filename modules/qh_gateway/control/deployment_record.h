// Keeps in the platform's store what nodes need to know when all of them start
// together: the recent use of the teams' limits, and how many nodes share
// these. Without it they can't tell how much of a limit is left for each of
// them, and refuse requests of teams that are far below their limits.
//
// One node writes the record about once a second; every node reads it once,
// when it starts. A record older than the limits' window is ignored.

#ifndef QH_GATEWAY_CONTROL_DEPLOYMENT_RECORD_H_
#define QH_GATEWAY_CONTROL_DEPLOYMENT_RECORD_H_

#include <string>

#include "qh_core/errors/result.h"
#include "qh_gateway/control/store_connection.h"
#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

class DeploymentRecord {
 public:
  // Time between two writes. A restarted deployment assumes that each limit was
  // used in full since the last write, so that a longer time leaves it less.
  static constexpr Duration kWriteInterval = std::chrono::seconds(1);
  // Timeout of one call, and the delay after a failed one.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

  // `state` has to outlive this object.
  explicit DeploymentRecord(GatewayState& state);

  // Reads the record. To be called once, when the node starts.
  void Start();
  // Writes the record when it is due, if this node `is_writer`, a team has a
  // limit, and the node has run for longer than the limits' window.
  void OnTick(TimePoint now, bool is_writer);
  // Drops the open call. Nothing is sent afterwards.
  void Stop();

 private:
  // Starts the call that reads the record.
  void Read();
  void OnRead(const CallReply& reply);
  // Takes over a record. Fails with kPeerMalformed.
  Result<void> TakeOver(const std::string& content);
  // Replaces the record, or creates it if the store has none.
  void Write(TimePoint now);
  void Create(const std::string& content);
  void OnWritten(const CallReply& reply);
  std::string Encode(const TeamUseHistory& history, TimePoint now) const;

  GatewayState& state_;
  StoreConnection connection_;
  TimePoint started_at_;
  bool call_open_ = false;
  // The store has answered a read, with a record or with none.
  bool read_done_ = false;
  bool stopped_ = false;
  TimePoint no_call_before_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_DEPLOYMENT_RECORD_H_
