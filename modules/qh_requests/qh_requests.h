// Module qh_requests
//
//   Purpose:       the life cycle of requests: claims for calls that may run at
//                  most once, outcomes, resume, handover, crash quarantine.
//   Dependencies:  qh_core, qh_config, qh_platform
//   Libraries:     msgpack-cxx

#ifndef QH_REQUESTS_QH_REQUESTS_H_
#define QH_REQUESTS_QH_REQUESTS_H_

// clang-format off
#include "qh_requests/wire/field_map.h"
#include "qh_requests/claims/claim_messages.h"
#include "qh_requests/claims/claim_record.h"
#include "qh_requests/claims/claim_table.h"
#include "qh_requests/claims/claim_log.h"
#include "qh_requests/request.h"
#include "qh_requests/request_machine.h"
#include "qh_requests/handover/handover_peer.h"
#include "qh_requests/handover/handover_record.h"
#include "qh_requests/handover/resume_planner.h"
#include "qh_requests/quarantine/crash_quarantine.h"
#include "qh_requests/quarantine/crash_arbiter.h"
// clang-format on

#endif  // QH_REQUESTS_QH_REQUESTS_H_
