// What a request has in common with others: its whole content and the parts of
// its prompt. A server's crash is attributed to features (see CrashTracker).

#ifndef QH_GATEWAY_DECISIONS_CRASH_REQUEST_FEATURES_H_
#define QH_GATEWAY_DECISIONS_CRASH_REQUEST_FEATURES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "qh_gateway/model/caller_request.h"

namespace qh {

// Hash of one feature. All nodes compute the same value. The lowest bit tells
// the feature's kind.
using Feature = uint64_t;

// Whether the feature is a prompt part, not a whole content.
constexpr bool IsPromptPart(Feature feature) {
  return (feature & 1U) == 0;
}

// Returns the features as a list for the log.
std::string ToText(const std::vector<Feature>& features);

class RequestFeatures {
 public:
  // Prompt parts of one request that are looked at.
  static constexpr size_t kMaxParts = 64;

  RequestFeatures() = default;
  // `team` is the id of the caller's team, empty without one. The last part of
  // a prompt belongs to the request or its session alone and is left out.
  RequestFeatures(const CallerRequest& request, const std::string& team);

  // The hash of method, target, team and body.
  Feature content() const { return content_; }
  // The content and the parts, in increasing order without repeats.
  const std::vector<Feature>& sorted() const { return sorted_; }

 private:
  Feature content_ = 0;
  std::vector<Feature> sorted_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CRASH_REQUEST_FEATURES_H_
