// Outlier ejection: stops sending requests to slow or failing servers for a
// while, then raises their share of requests gradually. Servers are measured by
// the time to first byte of real requests instead of health checks, which also
// finds a server that answers health checks but serves requests late.

#ifndef QH_ROUTING_HEALTH_SERVER_HEALTH_H_
#define QH_ROUTING_HEALTH_SERVER_HEALTH_H_

#include <cstdint>
#include <vector>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// kReturning: the ejection is over and the share of requests is being raised.
enum class HealthState { kHealthy, kEjected, kReturning };

template <>
inline constexpr EnumName<HealthState> kEnumNames<HealthState>[] = {
    {HealthState::kHealthy, "healthy"},
    {HealthState::kEjected, "ejected"},
    {HealthState::kReturning, "returning"},
};

// Servers are identified by dense indexes that the owner assigns.
class ServerHealth {
 public:
  // Makes room for `count` servers; new ones are healthy.
  void Resize(size_t count);

  // A first byte arrived, or is overdue. `ratio` is its time to first byte, or
  // the time waited so far, divided by the expected time.
  void OnFirstByte(uint32_t server, double ratio, TimePoint now);

  // The server refused a connection or failed during a request.
  void OnFailure(uint32_t server, TimePoint now);

  // Returns the share of its normal requests that `server` may get: 1 while
  // healthy, 0 while ejected, and rising while it returns.
  double Share(uint32_t server, TimePoint now) const;

  // Returns how many times slower `server` answers than the median server; at
  // least 1. Approaches 1 while the server sends no first bytes.
  double Slowness(uint32_t server, TimePoint now) const;

  HealthState StateOf(uint32_t server, TimePoint now) const;

 private:
  struct Server {
    // Smoothed ratio of actual to expected time to first byte.
    double ratio = 1;
    // First bytes since the last ejection.
    uint32_t samples = 0;
    TimePoint last_sample = TimePoint::min();
    uint32_t consecutive_failures = 0;
    // Consecutive ejections, for the length of the next one.
    uint32_t ejections = 0;
    // Ejected before this time, returning during the kRampUp after it.
    // TimePoint::min() if never ejected.
    TimePoint ejected_until = TimePoint::min();
  };

  void Eject(uint32_t server, TimePoint now);
  // Whether one more server may be ejected.
  bool MayEject(TimePoint now) const;
  void RefreshMedian();

  std::vector<Server> servers_;
  // Median of the servers' ratios as of the last RefreshMedian.
  double median_ratio_ = 1;
  uint32_t samples_since_median_ = 0;
};

}  // namespace qh

#endif  // QH_ROUTING_HEALTH_SERVER_HEALTH_H_
