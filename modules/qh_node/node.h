// A complete node. quetzalhalld adds only the command line.

#ifndef QH_NODE_NODE_H_
#define QH_NODE_NODE_H_

#include <memory>

#include "qh_config/node_settings.h"
#include "qh_core/errors/result.h"

namespace qh {

class Node {
 public:
  // Starts all servers and threads of the node. The node refuses requests until
  // it has a configuration, has joined the cell and its startup grace period is
  // over. Fails with kInternal if an address can't be bound.
  static Result<std::unique_ptr<Node>> Start(const NodeSettings& settings);
  ~Node();

  // Starts a graceful shutdown: the node refuses new requests, open ones
  // continue. Thread safe.
  void Drain();

  // Whether a drain has been started, by Drain, by an operator or by a reclaim
  // notice.
  bool is_draining() const;

  // Blocks until every open request has ended, but no longer than `timeout`.
  // Requests still open after `handover_delay`, or sooner under a reclaim
  // notice, are handed over to peers.
  void WaitDrained(Duration handover_delay, Duration timeout);

 private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace qh

#endif  // QH_NODE_NODE_H_
