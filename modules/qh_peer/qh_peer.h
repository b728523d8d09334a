// Module qh_peer
//
//   Purpose:       calls between gateway nodes over HTTP/2: one connection per
//                  client and peer, opaque bodies, one reply per call.
//   Dependencies:  qh_core, qh_config
//   Libraries:     nghttp2, Boost.Asio (thread pool)

#ifndef QH_PEER_QH_PEER_H_
#define QH_PEER_QH_PEER_H_

// clang-format off
#include "qh_peer/peer_call.h"
#include "qh_peer/http2_session.h"
#include "qh_peer/http2_connection.h"
#include "qh_peer/tcp_socket.h"
#include "qh_peer/peer_client.h"
#include "qh_peer/peer_server.h"
// clang-format on

#endif  // QH_PEER_QH_PEER_H_
