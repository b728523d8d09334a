// Faults that tests and the demo switch on in the platform's stand-in.

#ifndef STANDINS_PLATFORM_PLATFORM_FAULTS_H_
#define STANDINS_PLATFORM_PLATFORM_FAULTS_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"

namespace qh::standins {

struct FaultState {
  // Every call is refused and has no effect.
  bool outage = false;
  // Every call takes this much longer.
  uint32_t delay_ms = 0;
  // So many next writes take effect and get no answer.
  uint32_t lose_answers = 0;
  // So many next starts of instances are refused.
  uint32_t refuse_starts = 0;
};

// Thread safe.
class PlatformFaults {
 public:
  FaultState state() const;

  // Changes what the JSON object `text` names: "outage", "delay_ms",
  // "lose_answers", "refuse_starts". Fails with kMalformedRequest.
  Result<void> Change(const std::string& text);

  // Returns whether the present write's answer gets lost; counts it.
  bool TakeLostAnswer();
  // Returns whether the present start is refused; counts it.
  bool TakeRefusedStart();

 private:
  static bool TakeOne(uint32_t& count);

  mutable std::mutex mutex_;
  // Guarded by mutex_.
  FaultState state_;
};

}  // namespace qh::standins

#endif  // STANDINS_PLATFORM_PLATFORM_FAULTS_H_
