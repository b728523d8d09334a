// The usual response times of a service's routes, by which single responses are
// called slow. Load pattern: a new version that takes several times as long as
// the old one, on any route.
//
// Times to the first byte are taken in proportion to what the picker expected,
// so that a server without cached prompts or with more work isn't called slow
// for that.

#ifndef QH_GATEWAY_DECISIONS_ROLLOUT_RESPONSE_TIMES_H_
#define QH_GATEWAY_DECISIONS_ROLLOUT_RESPONSE_TIMES_H_

#include <map>
#include <string>

#include "qh_core/time/time.h"
#include "qh_gateway/decisions/rollout/rollout_types.h"

namespace qh {

// How long a response took.
struct ResponseTime {
  // From the request to the first byte, and as the picker expected it.
  Duration first_byte = Duration::zero();
  Duration expected = Duration::zero();
  // Mean gap between events; zero if unknown.
  Duration gap = Duration::zero();
};

class ResponseTimes {
 public:
  // A response is slow from this multiple of the usual time on.
  static constexpr double kSlowFactor = 2.2;
  // Shorter differences are not called slow.
  static constexpr Duration kMinDifference = std::chrono::milliseconds(10);
  // Responses from which the usual times are known.
  static constexpr double kMinSamples = 10;

  // A response of the old version, complete and without failure.
  void Learn(const std::string& service,
             const std::string& route,
             const ResponseTime& time);
  // Whether the response is slow; false while the usual time isn't known.
  // `all_nodes` are the old version's counts at all nodes, which are used if
  // this node has seen too few responses.
  bool IsSlow(const std::string& service,
              const std::string& route,
              const ResponseTime& time,
              const ResponseCounts& all_nodes) const;
  // Returns what one response adds to the counts of all nodes.
  static ResponseCounts Sample(const ResponseTime& time);

 private:
  struct Usual {
    double samples = 0;
    // Time to the first byte divided by the expected one.
    double first_byte_ratio = 0;
    double gap_samples = 0;
    double gap_ms = 0;
  };

  std::map<std::string, std::map<std::string, Usual>> usual_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ROLLOUT_RESPONSE_TIMES_H_
