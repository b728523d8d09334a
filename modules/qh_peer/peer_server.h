// Accepts and answers the calls of other gateway nodes.

#ifndef QH_PEER_PEER_SERVER_H_
#define QH_PEER_PEER_SERVER_H_

#include <memory>
#include <string>

#include "qh_config/configuration.h"
#include "qh_peer/peer_call.h"

namespace qh {

class PeerServer {
 public:
  // Listens on `address`, where port zero selects a free port, and passes calls
  // that carry `secret` to `handler`. Fails with kConfigInvalid when the host
  // is not an IPv4 address, and with kInternal when the address cannot be
  // bound.
  static Result<std::unique_ptr<PeerServer>> Start(const Address& address,
                                                   const std::string& secret,
                                                   PeerHandler handler);
  // Waits for running handlers and closes all connections.
  ~PeerServer();

  // Returns the port that the server listens on.
  uint16_t port() const;

 private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace qh

#endif  // QH_PEER_PEER_SERVER_H_
