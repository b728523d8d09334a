// Module qh_node
//
//   Purpose:       combines the state machines of the other modules into a node
//                  and does their I/O: HTTP with callers and operators, calls
//                  to backend servers, peers and the platform.
//   Dependencies:  qh_core, qh_http, qh_config, qh_peer, qh_metrics,
//                  qh_platform, qh_http_platform, qh_membership,
//                  qh_requests, qh_routing
//   Libraries:     cpp-httplib, nlohmann/json

#ifndef QH_NODE_QH_NODE_H_
#define QH_NODE_QH_NODE_H_

// clang-format off
#include "qh_node/upstream/backend_client.h"
#include "qh_node/serving/request_record.h"
#include "qh_node/serving/request_table.h"
#include "qh_node/serving/chat_codec.h"
#include "qh_node/serving/problem.h"
#include "qh_node/serving/dispatcher.h"
#include "qh_node/serving/quarantine_driver.h"
#include "qh_node/serving/request_runner.h"
#include "qh_node/serving/request_session.h"
#include "qh_node/handover/handover_payload.h"
#include "qh_node/handover/request_handover.h"
#include "qh_node/callers/caller_server.h"
#include "qh_node/control/ticker.h"
#include "qh_node/control/membership_driver.h"
#include "qh_node/control/config_driver.h"
#include "qh_node/control/claim_driver.h"
#include "qh_node/control/claim_conversion.h"
#include "qh_node/control/instance_watcher.h"
#include "qh_node/control/demand_driver.h"
#include "qh_node/control/admin_server.h"
#include "qh_node/node.h"
#include "qh_node/control/node_report.h"
// clang-format on

#endif  // QH_NODE_QH_NODE_H_
