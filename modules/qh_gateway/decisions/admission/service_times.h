// Estimates the work of requests, as time in a server's slot: from measured
// times for plain services, and from tokens for model engines.
//
// Load pattern: requests of very different size that compete for capacity.

#ifndef QH_GATEWAY_DECISIONS_ADMISSION_SERVICE_TIMES_H_
#define QH_GATEWAY_DECISIONS_ADMISSION_SERVICE_TIMES_H_

#include <map>
#include <string>

#include "qh_core/time/time.h"
#include "qh_gateway/model/caller_request.h"

namespace qh {

class ServiceTimes {
 public:
  // Assumed for a plain request until a time has been measured.
  static constexpr double kInitialMs = 30;
  // Bounds on HoldPerSlot. Servers queue in order of arrival, so that they
  // should get little beyond their slots; but enough to stay busy until peers'
  // reports show that they have room.
  static constexpr double kMinHoldPerSlot = 1.5;
  static constexpr double kMaxHoldPerSlot = 3;

  // A request of `route` was answered by a server with free slots, `took` after
  // it was sent there.
  void OnAnswered(const std::string& route, Duration took);
  // Returns the expected time of a request in a slot of a plain server, in
  // milliseconds.
  double PlainMs(const std::string& route) const;

  // A plain server of `service` answered `took` after it was sent a request
  // that made `open_per_slot` requests in flight there per slot.
  void OnLoadedAnswer(const std::string& service,
                      Duration took,
                      double open_per_slot);
  // Returns the expected time to the answer of a plain server, for each request
  // in flight per slot, in milliseconds.
  double PerOpenMs(const std::string& service) const;
  // Returns up to how many requests in flight per slot a plain server gets
  // while others can wait at the node. Slow servers get fewer, so that what is
  // sent to them is answered within its latency target.
  double HoldPerSlot(const std::string& service, Duration latency_target) const;

  // Returns the output tokens expected of a request. The caller's estimate is
  // right at the median but often far off, so that the maximum counts too.
  static double ExpectedOutputTokens(const CallerRequest& request);
  // Returns the part of an engine that a request takes, as time in one of its
  // `slots`, in milliseconds. Prefill at `prefill_rate` tokens per millisecond
  // delays the requests in all slots.
  static double EngineMs(const CallerRequest& request,
                         double prefill_rate,
                         double slots);

 private:
  // Exponential average, by route.
  std::map<std::string, double> plain_ms_;
  // Exponential average, by service.
  std::map<std::string, double> per_open_ms_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ADMISSION_SERVICE_TIMES_H_
