// Line-by-line difference of two texts.

#ifndef APPS_QUETZALHALL_LINE_DIFF_H_
#define APPS_QUETZALHALL_LINE_DIFF_H_

#include <string>
#include <vector>

namespace qh::cli {

// Returns the lines that only one text has, in order: "-" before those of
// `from`, "+" before those of `to`. Time and memory grow with the product of
// the two line counts.
std::vector<std::string> DiffLines(const std::string& from,
                                   const std::string& to);

}  // namespace qh::cli

#endif  // APPS_QUETZALHALL_LINE_DIFF_H_
