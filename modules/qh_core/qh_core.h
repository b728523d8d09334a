// Module qh_core
//
//   Purpose:       the basic types that all other modules use: errors and the
//                  answers for them, results, time, ids, addresses, hashes,
//                  random numbers, enum names, state charts and log lines.
//   Dependencies:  none
//   Libraries:     Boost.Outcome, Boost.Locale (headers), spdlog, xxHash, PCG
//
// The order of the includes below is the dependency order inside the module.

#ifndef QH_CORE_QH_CORE_H_
#define QH_CORE_QH_CORE_H_

// clang-format off
#include "qh_core/time/time.h"
#include "qh_core/errors/error_kind.h"
#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/address/address.h"
#include "qh_core/hash/hash.h"
#include "qh_core/random/rng.h"
#include "qh_core/text/bounded_json.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/text/utf8.h"
#include "qh_core/statechart/state_chart.h"
#include "qh_core/log/log_line.h"
// clang-format on

#endif  // QH_CORE_QH_CORE_H_
