#include "standins/platform/platform_faults.h"

#include <nlohmann/json.hpp>

namespace qh::standins {

using nlohmann::json;

FaultState PlatformFaults::state() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

Result<void> PlatformFaults::Change(const std::string& text) {
  const std::lock_guard lock(mutex_);
  try {
    const json root = json::parse(text);
    FaultState changed = state_;
    changed.outage = root.value("outage", changed.outage);
    changed.delay_ms = root.value("delay_ms", changed.delay_ms);
    changed.lose_answers = root.value("lose_answers", changed.lose_answers);
    changed.refuse_starts = root.value("refuse_starts", changed.refuse_starts);
    state_ = changed;
    return Ok();
  } catch (const json::exception& error) {
    return Error(ErrorKind::kMalformedRequest, error.what());
  }
}

bool PlatformFaults::TakeOne(uint32_t& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

bool PlatformFaults::TakeLostAnswer() {
  const std::lock_guard lock(mutex_);
  return TakeOne(state_.lose_answers);
}

bool PlatformFaults::TakeRefusedStart() {
  const std::lock_guard lock(mutex_);
  return TakeOne(state_.refuse_starts);
}

}  // namespace qh::standins
