// When a server last began an answer on each prompt part and did not crash of
// it. Memory is bounded: of very many parts, those without an answer for
// longest are forgotten.

#ifndef QH_GATEWAY_DECISIONS_CRASH_SOUND_ANSWERS_H_
#define QH_GATEWAY_DECISIONS_CRASH_SOUND_ANSWERS_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "qh_core/time/time.h"
#include "qh_gateway/decisions/crash/request_features.h"

namespace qh {

class SoundAnswers {
 public:
  // Entries of one generation; two generations are held.
  static constexpr size_t kMaxGeneration = 8'192;

  // A server began an answer on `feature` at `began` and did not crash of it.
  // Earlier times than the one held change nothing.
  void Note(Feature feature, TimePoint began);
  // Returns when the last such answer began; nullopt if none is remembered.
  std::optional<TimePoint> Last(Feature feature) const;
  size_t size() const { return young_.size() + old_.size(); }

 private:
  using Times = std::unordered_map<Feature, TimePoint>;

  // An entry of old_ that is noted again moves to young_. When young_ is full
  // it becomes old_, and what was still in old_ is forgotten.
  Times young_;
  Times old_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CRASH_SOUND_ANSWERS_H_
