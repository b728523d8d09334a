// Module qh_platform
//
//   Purpose:       the platform's services as plain data types and hooks: the
//                  object store with conditional writes and watches, leases
//                  with fencing numbers on top of it, the instance list with
//                  its reclaim notices, and the cloud API.
//   Dependencies:  qh_core
//   Libraries:     nlohmann/json

#ifndef QH_PLATFORM_QH_PLATFORM_H_
#define QH_PLATFORM_QH_PLATFORM_H_

// clang-format off
#include "qh_platform/store/object_store.h"
#include "qh_platform/client/store_rate_limiter.h"
#include "qh_platform/client/store_client.h"
#include "qh_platform/client/store_executor.h"
#include "qh_platform/lease/lease_record.h"
#include "qh_platform/lease/lease.h"
#include "qh_platform/lease/shard_map.h"
#include "qh_platform/cloud/instance_list.h"
#include "qh_platform/cloud/cloud_api.h"
// clang-format on

#endif  // QH_PLATFORM_QH_PLATFORM_H_
