// Non-blocking TCP sockets for the connections between gateway nodes.

#ifndef QH_PEER_TCP_SOCKET_H_
#define QH_PEER_TCP_SOCKET_H_

#include <cstdint>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"

namespace qh {

// Connects to the IPv4 address `host`. Returns a non-blocking socket that the
// caller must close. Fails with kConfigInvalid when `host` is not an IPv4
// address, and with kPeerUnreachable when there is no connection within
// `timeout`.
Result<int> ConnectTcp(const std::string& host,
                       uint16_t port,
                       Duration timeout);

// A listening socket, which its owner must close, and its port.
struct TcpListener {
  int socket = -1;
  uint16_t port = 0;
};

// Listens on the IPv4 address `host`; port zero selects a free port. Fails with
// kConfigInvalid when `host` is not an IPv4 address, and with kInternal when
// the address cannot be bound.
Result<TcpListener> ListenTcp(const std::string& host, uint16_t port);

// Accepts one connection from `listener` and returns its non-blocking socket,
// or -1 when no connection is pending.
int AcceptTcp(int listener);

}  // namespace qh

#endif  // QH_PEER_TCP_SOCKET_H_
