#include "apps/quetzalhall/line_diff.h"

#include <algorithm>
#include <cstdint>
#include <sstream>

namespace qh::cli {
namespace {

using Lines = std::vector<std::string>;

Lines SplitLines(const std::string& text) {
  Lines lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

// Lengths of the longest common subsequences of all pairs of tails.
std::vector<std::vector<uint32_t>> TailLengths(const Lines& from,
                                               const Lines& to) {
  std::vector<std::vector<uint32_t>> lengths(
      from.size() + 1, std::vector<uint32_t>(to.size() + 1));
  for (size_t i = from.size(); i-- > 0;) {
    for (size_t j = to.size(); j-- > 0;) {
      lengths[i][j] = from[i] == to[j]
                          ? lengths[i + 1][j + 1] + 1
                          : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

}  // namespace

Lines DiffLines(const std::string& from_text, const std::string& to_text) {
  const Lines from = SplitLines(from_text);
  const Lines to = SplitLines(to_text);
  const auto lengths = TailLengths(from, to);
  Lines diff;
  size_t i = 0;
  size_t j = 0;
  while (i < from.size() || j < to.size()) {
    if (i < from.size() && j < to.size() && from[i] == to[j]) {
      ++i;
      ++j;
    } else if (j == to.size() ||
               (i < from.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
      diff.push_back("-" + from[i++]);
    } else {
      diff.push_back("+" + to[j++]);
    }
  }
  return diff;
}

}  // namespace qh::cli
