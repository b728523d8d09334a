#include "qh_gateway/decisions/crash/request_features.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// Keeps the hashes of prompt parts apart from other hashes of the same ids.
constexpr uint64_t kPromptPartSeed = 0x70617274;
constexpr uint64_t kContentBit = 1;

}  // namespace

std::string ToText(const std::vector<Feature>& features) {
  std::string text;
  for (const Feature feature : features) {
    text += (text.empty() ? "" : ",") + std::to_string(feature);
  }
  return text;
}

RequestFeatures::RequestFeatures(const CallerRequest& request,
                                 const std::string& team) {
  const uint64_t content =
      HashPair(Hash64(request.method + ' ' + request.target + ' ' + team),
               Hash64(request.body));
  content_ = content | kContentBit;
  sorted_.push_back(content_);
  const size_t shared =
      request.prompt_parts.empty() ? 0 : request.prompt_parts.size() - 1;
  for (size_t i = 0; i < std::min(shared, kMaxParts); ++i) {
    const uint64_t part = HashPair(request.prompt_parts[i].id, kPromptPartSeed);
    sorted_.push_back(part & ~kContentBit);
  }
  std::sort(sorted_.begin(), sorted_.end());
  sorted_.erase(std::unique(sorted_.begin(), sorted_.end()), sorted_.end());
}

}  // namespace qh
