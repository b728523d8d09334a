// The registration of a backend server, as the server wrote it to the store.

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
  // Version of the service that the server runs; empty if it states none.
  std::string version;
  // Requests that the server runs concurrently.
  uint32_t slots = 1;
  // The server takes no new requests.
  bool draining = false;
  // The server runs on an instance that the cloud can reclaim.
  bool spot = false;
  // Time until the server's instance is reclaimed, counted from the
  // registration's last change; nullopt without a reclaim notice.
  std::optional<Duration> leaves_in;
  // Start of the server's process, ms since 1970. A changed value means a new
  // process: what was known about the old one, e.g. its cache, no longer holds.
  int64_t started_ms = 0;

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_SERVER_RECORD_H_
