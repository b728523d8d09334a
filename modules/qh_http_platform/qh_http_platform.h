// Module qh_http_platform
//
//   Purpose:       the platform's services over blocking HTTP calls, for
//                  programs whose threads may block: the node daemon, the
//                  operators' commands, the stand-ins and the benchmarks.
//   Dependencies:  qh_core, qh_platform
//   Libraries:     cpp-httplib, nlohmann/json

#ifndef QH_HTTP_PLATFORM_QH_HTTP_PLATFORM_H_
#define QH_HTTP_PLATFORM_QH_HTTP_PLATFORM_H_

// clang-format off
#include "qh_http_platform/connection_pool.h"
#include "qh_http_platform/http_platform.h"
// clang-format on

#endif  // QH_HTTP_PLATFORM_QH_HTTP_PLATFORM_H_
