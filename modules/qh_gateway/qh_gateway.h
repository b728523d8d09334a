// Module qh_gateway
//
//   Purpose:       a gateway node between callers and backend servers. The
//                  platform's store keeps the configuration, the servers'
//                  registrations and all durable state. The node consists of
//                  an event-driven data path, the decision logic behind it,
//                  and the control plane around both. All wire formats of the
//                  platform are behind a WireCodec, so this module contains
//                  none of its names.
//   Dependencies:  qh_core, qh_net, qh_metrics, qh_platform (leases)
//   Libraries:     Boost.Asio, nlohmann/json
//
// Folders:
//   model/       plain data types
//   decisions/   pure logic without I/O or clocks, in a folder for each subject
//   forwarding/  the data path between callers and backend servers
//   control/     communication with the store, the peer nodes and the cloud

#ifndef QH_GATEWAY_QH_GATEWAY_H_
#define QH_GATEWAY_QH_GATEWAY_H_

// clang-format off
#include "qh_gateway/control/crash_report_codec.h"
#include "qh_gateway/control/deployment_record.h"
#include "qh_gateway/control/event_log.h"
#include "qh_gateway/control/gateway_node.h"
#include "qh_gateway/control/gateway_settings.h"
#include "qh_gateway/control/leader_tasks.h"
#include "qh_gateway/control/peer_digest.h"
#include "qh_gateway/control/peer_exchange.h"
#include "qh_gateway/control/peer_heartbeat.h"
#include "qh_gateway/control/peer_state_fetcher.h"
#include "qh_gateway/control/rollout_control.h"
#include "qh_gateway/control/rollout_report_codec.h"
#include "qh_gateway/control/store_connection.h"
#include "qh_gateway/control/store_epoch_record.h"
#include "qh_gateway/control/store_watcher.h"
#include "qh_gateway/control/verdict_archive.h"
#include "qh_gateway/decisions/admission/admission_order.h"
#include "qh_gateway/decisions/admission/drain_rate.h"
#include "qh_gateway/decisions/admission/retry_schedule.h"
#include "qh_gateway/decisions/admission/returned_requests.h"
#include "qh_gateway/decisions/admission/served_shares.h"
#include "qh_gateway/decisions/admission/server_urgency.h"
#include "qh_gateway/decisions/admission/service_times.h"
#include "qh_gateway/decisions/admission/wait_queue.h"
#include "qh_gateway/decisions/answers/answer_evidence.h"
#include "qh_gateway/decisions/capacity/capacity_planner.h"
#include "qh_gateway/decisions/crash/crash_tracker.h"
#include "qh_gateway/decisions/crash/crash_verdicts.h"
#include "qh_gateway/decisions/crash/request_features.h"
#include "qh_gateway/decisions/crash/sound_answers.h"
#include "qh_gateway/decisions/limits/cumulative_totals.h"
#include "qh_gateway/decisions/limits/server_rate_limits.h"
#include "qh_gateway/decisions/limits/service_retry_budget.h"
#include "qh_gateway/decisions/limits/sliding_window_sum.h"
#include "qh_gateway/decisions/limits/team_rate_limiter.h"
#include "qh_gateway/decisions/nodes/deployment_size.h"
#include "qh_gateway/decisions/nodes/node_table.h"
#include "qh_gateway/decisions/nodes/relay_ranking.h"
#include "qh_gateway/decisions/nodes/wall_clock.h"
#include "qh_gateway/decisions/placement/engine_estimate.h"
#include "qh_gateway/decisions/placement/outlier_detector.h"
#include "qh_gateway/decisions/placement/prefix_cache_estimate.h"
#include "qh_gateway/decisions/placement/server_load.h"
#include "qh_gateway/decisions/placement/server_pauses.h"
#include "qh_gateway/decisions/placement/server_picker.h"
#include "qh_gateway/decisions/placement/server_speeds.h"
#include "qh_gateway/decisions/rollout/canary_analysis.h"
#include "qh_gateway/decisions/rollout/exposure_budget.h"
#include "qh_gateway/decisions/rollout/response_times.h"
#include "qh_gateway/decisions/rollout/rollout_book.h"
#include "qh_gateway/decisions/rollout/rollout_types.h"
#include "qh_gateway/decisions/rollout/service_rollout.h"
#include "qh_gateway/decisions/servers/server_departures.h"
#include "qh_gateway/decisions/servers/server_directory.h"
#include "qh_gateway/decisions/store/copy_check.h"
#include "qh_gateway/decisions/store/latest_objects.h"
#include "qh_gateway/decisions/store/state_freshness.h"
#include "qh_gateway/decisions/store/store_epoch.h"
#include "qh_gateway/decisions/store/store_mirror.h"
#include "qh_gateway/decisions/store/store_reachability.h"
#include "qh_gateway/decisions/streams/event_gaps.h"
#include "qh_gateway/decisions/streams/event_splitter.h"
#include "qh_gateway/decisions/streams/stream_migration.h"
#include "qh_gateway/decisions/usage/usage_ledger.h"
#include "qh_gateway/forwarding/answer_serialization.h"
#include "qh_gateway/forwarding/caller_connection.h"
#include "qh_gateway/forwarding/crash_probe.h"
#include "qh_gateway/forwarding/exchange.h"
#include "qh_gateway/forwarding/gateway_state.h"
#include "qh_gateway/forwarding/server_connection.h"
#include "qh_gateway/forwarding/server_connection_pool.h"
#include "qh_gateway/forwarding/waiting_requests.h"
#include "qh_gateway/model/caller_request.h"
#include "qh_gateway/model/server_record.h"
#include "qh_gateway/model/service_config.h"
#include "qh_gateway/model/stored_object.h"
#include "qh_gateway/model/wire_codec.h"
// clang-format on

#endif  // QH_GATEWAY_QH_GATEWAY_H_
