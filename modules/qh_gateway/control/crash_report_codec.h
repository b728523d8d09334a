// Encodes what a node knows of crashes for heartbeats.

#ifndef QH_GATEWAY_CONTROL_CRASH_REPORT_CODEC_H_
#define QH_GATEWAY_CONTROL_CRASH_REPORT_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "qh_core/time/time.h"
#include "qh_gateway/decisions/crash/crash_tracker.h"

namespace qh {

// Adds the members of `json` that hold the report. Times are encoded as their
// age when the report was made.
void AddCrashReport(const CrashReport& report, nlohmann::json& json);
// Reads the members that AddCrashReport has added, as of `now`. Throws
// nlohmann::json::exception.
CrashReport CrashReportFromJson(const nlohmann::json& json, TimePoint now);

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_CRASH_REPORT_CODEC_H_
