// Module qh_http_platform
//
//   Purpose:       the platform's services over blocking HTTP calls, for
//                  programs that may wait: the daemon of our own interface, the
//                  operators' commands, the stand-ins and benches.
//   Dependencies:  qh_core, qh_platform
//   Libraries:     cpp-httplib, nlohmann/json

#ifndef QH_HTTP_PLATFORM_QH_HTTP_PLATFORM_H_
#define QH_HTTP_PLATFORM_QH_HTTP_PLATFORM_H_

// clang-format off
#include "qh_http_platform/connection_pool.h"
#include "qh_http_platform/http_platform.h"
// clang-format on

#endif  // QH_HTTP_PLATFORM_QH_HTTP_PLATFORM_H_
