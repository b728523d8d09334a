// Settings of one node process, read from the file given by --config. Settings
// that all nodes share are in Configuration.

#ifndef QH_CONFIG_NODE_SETTINGS_H_
#define QH_CONFIG_NODE_SETTINGS_H_

#include <string>

#include "qh_config/configuration.h"
#include "qh_core/errors/result.h"

namespace qh {

struct NodeSettings {
  InstanceId instance;
  FailureDomainId failure_domain;
  // Address on which callers connect.
  Address callers;
  // Address on which operators connect.
  Address admin;
  // Address on which other nodes connect.
  Address peers;
  // Address of the platform's object API.
  Address platform;
  // Bearer token required on the admin port.
  std::string admin_token;
  // Secret of all nodes of a deployment, by which peers authenticate.
  std::string peer_secret;
  std::string log_level = "info";

  // Reads the JSON file at `path`. Fails with kConfigInvalid; the
  // error's detail has one line "file: key: reason" for each mistake.
  static Result<NodeSettings> Load(const std::string& path);
};

}  // namespace qh

#endif  // QH_CONFIG_NODE_SETTINGS_H_
