#include "qh_gateway/decisions/crash/sound_answers.h"

#include <algorithm>
#include <utility>

namespace qh {

void SoundAnswers::Note(Feature feature, TimePoint began) {
  const TimePoint latest = std::max(Last(feature).value_or(began), began);
  old_.erase(feature);
  young_[feature] = latest;
  if (young_.size() >= kMaxGeneration) {
    old_ = std::exchange(young_, {});
  }
}

std::optional<TimePoint> SoundAnswers::Last(Feature feature) const {
  for (const Times* times : {&young_, &old_}) {
    const auto found = times->find(feature);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

}  // namespace qh
