// Encodes the reports on rollouts for heartbeats.

#ifndef QH_GATEWAY_CONTROL_ROLLOUT_REPORT_CODEC_H_
#define QH_GATEWAY_CONTROL_ROLLOUT_REPORT_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "qh_gateway/decisions/rollout/rollout_types.h"

namespace qh {

nlohmann::json RolloutReportsToJson(const RolloutReports& reports);
// Decodes the result of RolloutReportsToJson. Leaves out reports that can't be
// true: with an unknown phase, without a version, or with times or counts out
// of range. Throws nlohmann::json::exception.
RolloutReports RolloutReportsFromJson(const nlohmann::json& json);

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_ROLLOUT_REPORT_CODEC_H_
