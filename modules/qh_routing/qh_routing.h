// Module qh_routing
//
//   Purpose:       server choice, admission, team limits, retry budgets.
//   Dependencies:  qh_core, qh_config, qh_metrics
//   Libraries:     none
//
// The order of the includes below is the dependency order inside the module.

#ifndef QH_ROUTING_QH_ROUTING_H_
#define QH_ROUTING_QH_ROUTING_H_

// clang-format off
#include "qh_routing/route_query.h"
#include "qh_routing/decision_log.h"
#include "qh_routing/server_table.h"
#include "qh_routing/load/server_load_view.h"
#include "qh_routing/affinity/space_saving.h"
#include "qh_routing/affinity/prefix_affinity.h"
#include "qh_routing/health/concurrency_limit.h"
#include "qh_routing/health/server_health.h"
#include "qh_routing/router.h"
#include "qh_routing/admission/fair_queue.h"
#include "qh_routing/admission/admission.h"
#include "qh_routing/limits/demand_digest.h"
#include "qh_routing/limits/team_limiter.h"
#include "qh_routing/retries/retry_budget.h"
// clang-format on

#endif  // QH_ROUTING_QH_ROUTING_H_
