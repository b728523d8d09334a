// A backend server as it has registered itself.

#ifndef QH_GATEWAY_MODEL_SERVER_RECORD_H_
#define QH_GATEWAY_MODEL_SERVER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "qh_core/address/address.h"
#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

struct ServerRecord {
  ServerId id;
  std::string service;
  Address address;
  FailureDomainId failure_domain;
  // Requests that it runs at once.
  uint32_t slots = 1;
  // It takes no new work.
  bool draining = false;
  // It can be reclaimed by the cloud.
  bool spot = false;
  // Time until it is gone, as of the registration's last change.
  std::optional<Duration> leaves_in;
  // Start of the process, ms since 1970; a changed one means that all that was
  // known of the server is void.
  int64_t started_ms = 0;

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_SERVER_RECORD_H_
