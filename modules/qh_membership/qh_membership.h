// Module qh_membership
//
//   Purpose:       tracks which gateway nodes are live, suspect, leaving or
//                  dead, and selects the nodes that a caller should use.
//   Dependencies:  qh_core, qh_config, qh_platform
//   Libraries:     msgpack-cxx

#ifndef QH_MEMBERSHIP_QH_MEMBERSHIP_H_
#define QH_MEMBERSHIP_QH_MEMBERSHIP_H_

// clang-format off
#include "qh_membership/member.h"
#include "qh_membership/gossip_message.h"
#include "qh_membership/member_table.h"
#include "qh_membership/gossip_queue.h"
#include "qh_membership/membership.h"
#include "qh_membership/entry_locator.h"
#include "qh_membership/cell_plan.h"
// clang-format on

#endif  // QH_MEMBERSHIP_QH_MEMBERSHIP_H_
