// The platform's stand-in: object API, cloud API and weight store over HTTP,
// with a call budget and faults to switch on.

#ifndef STANDINS_PLATFORM_PLATFORM_STANDIN_H_
#define STANDINS_PLATFORM_PLATFORM_STANDIN_H_

#include <cstdint>
#include <memory>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"

namespace qh::standins {

struct PlatformSettings {
  std::string host;
  // Zero takes a free port.
  uint16_t port = 0;
  // Call budget; zero is no limit. A watch counts as one read.
  uint32_t reads_per_second = 0;
  uint32_t writes_per_second = 0;
  // How late the instance list shows a change.
  Duration list_lag = Duration::zero();
  // Rate that all downloads of weights share.
  uint64_t weight_bytes_per_second = 100 << 20;
};

class PlatformStandin {
 public:
  // Binds and serves until destroyed. Fails with kInternal when the port is
  // taken. PUT /admin/faults switches faults on and is never refused itself.
  static Result<std::unique_ptr<PlatformStandin>> Start(
      const PlatformSettings& settings);
  ~PlatformStandin();

  uint16_t port() const;

 private:
  class Impl;
  explicit PlatformStandin(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace qh::standins

#endif  // STANDINS_PLATFORM_PLATFORM_STANDIN_H_
