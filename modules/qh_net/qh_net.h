// Module qh_net
//
//   Purpose:       event-driven HTTP/1.1 on one thread: an incremental parser,
//                  a client and a small server for control calls. qh_gateway
//                  builds its request forwarding on the parser.
//   Dependencies:  qh_core
//   Libraries:     Boost.Asio, Boost.Beast (parsing only)

#ifndef QH_NET_QH_NET_H_
#define QH_NET_QH_NET_H_

// clang-format off
#include "qh_net/byte_budget.h"
#include "qh_net/connection_end.h"
#include "qh_net/http_head.h"
#include "qh_net/http_parser.h"
#include "qh_net/idle_connection.h"
#include "qh_net/socket_options.h"
#include "qh_net/http_client.h"
#include "qh_net/http_service.h"
// clang-format on

#endif  // QH_NET_QH_NET_H_
