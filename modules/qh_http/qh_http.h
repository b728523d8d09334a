// Module qh_http
//
//   Purpose:       an HTTP server that runs on its own thread, and the thread
//                  pool that grows with its load; used by nodes and stand-ins.
//   Dependencies:  qh_core
//   Libraries:     cpp-httplib

#ifndef QH_HTTP_QH_HTTP_H_
#define QH_HTTP_QH_HTTP_H_

// clang-format off
#include "qh_http/elastic_pool.h"
#include "qh_http/http_listener.h"
// clang-format on

#endif  // QH_HTTP_QH_HTTP_H_
