// Module qh_fleet
//
//   Purpose:       what the backend servers run: desired state, intents and
//                  fenced orders.
//   Dependencies:  qh_core, qh_platform
//   Libraries:     nlohmann/json

#ifndef QH_FLEET_QH_FLEET_H_
#define QH_FLEET_QH_FLEET_H_

// clang-format off
#include "qh_fleet/server_order.h"
#include "qh_fleet/fleet_state.h"
#include "qh_fleet/order_tracker.h"
#include "qh_fleet/order_controller.h"
// clang-format on

#endif  // QH_FLEET_QH_FLEET_H_
