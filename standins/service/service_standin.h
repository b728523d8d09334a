// A plain service's stand-in: bookings. It counts every execution by
// idempotency key, so that a second run shows.

#ifndef STANDINS_SERVICE_SERVICE_STANDIN_H_
#define STANDINS_SERVICE_SERVICE_STANDIN_H_

#include <cstdint>
#include <memory>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"

namespace qh::standins {

struct ServiceSettings {
  std::string id;
  std::string host;
  // Zero takes a free port.
  uint16_t port = 0;
  // Time that a write takes.
  Duration work = std::chrono::milliseconds(5);
};

class ServiceStandin {
 public:
  // Binds and serves until destroyed. Fails with kInternal when the port is
  // taken. POST runs a booking, also a second time with the same key; GET
  // reads; GET /executions gives the counts by key; PUT /admin/faults with
  // "delay_ms" makes every call slower.
  static Result<std::unique_ptr<ServiceStandin>> Start(
      const ServiceSettings& settings);
  ~ServiceStandin();

  uint16_t port() const;
  // Returns how often a call with `key` was run.
  uint32_t Executions(const std::string& key) const;

 private:
  class Impl;
  explicit ServiceStandin(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace qh::standins

#endif  // STANDINS_SERVICE_SERVICE_STANDIN_H_
