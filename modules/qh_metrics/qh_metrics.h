// Module qh_metrics
//
//   Purpose:       counters, gauges and histograms per team or class, and their
//                  text exposition.
//   Dependencies:  qh_core
//   Libraries:     Boost.Accumulators

#ifndef QH_METRICS_QH_METRICS_H_
#define QH_METRICS_QH_METRICS_H_

// clang-format off
#include "qh_metrics/histogram.h"
#include "qh_metrics/metrics_registry.h"
// clang-format on

#endif  // QH_METRICS_QH_METRICS_H_
