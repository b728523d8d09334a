// Module qh_config
//
//   Purpose:       loads, merges and checks the deployment's configuration and
//                  the settings of a node process, and distributes accepted
//                  versions of the configuration to the nodes.
//   Dependencies:  qh_core
//   Libraries:     nlohmann/json, OpenSSL (SHA-256), msgpack-cxx

#ifndef QH_CONFIG_QH_CONFIG_H_
#define QH_CONFIG_QH_CONFIG_H_

// clang-format off
#include "qh_config/configuration.h"
#include "qh_config/config_mistake.h"
#include "qh_config/schema/schema.h"
#include "qh_config/schema/reference_page.h"
#include "qh_config/config_loader.h"
#include "qh_config/loading/document.h"
#include "qh_config/loading/schema_checker.h"
#include "qh_config/loading/config_rules.h"
#include "qh_config/loading/config_parser.h"
#include "qh_config/manifest.h"
#include "qh_config/node_settings.h"
#include "qh_config/distribution/config_pull.h"
#include "qh_config/distribution/config_tracker.h"
#include "qh_config/distribution/apply_plan.h"
// clang-format on

#endif  // QH_CONFIG_QH_CONFIG_H_
