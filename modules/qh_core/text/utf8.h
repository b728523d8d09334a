// Checks that text from outside is UTF-8.

#ifndef QH_CORE_TEXT_UTF8_H_
#define QH_CORE_TEXT_UTF8_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace qh {

struct TextPlace {
  // Both from 1; the column counts bytes.
  size_t line = 1;
  size_t column = 1;

  friend bool operator==(const TextPlace&, const TextPlace&) = default;
};

// Returns where `text` first is not UTF-8, or nothing when all of it is.
std::optional<TextPlace> FindInvalidUtf8(std::string_view text);

// Returns where `text` first is not UTF-8 in words for whoever wrote it, or
// nothing when all of it is.
std::optional<std::string> DescribeInvalidUtf8(std::string_view text);

}  // namespace qh

#endif  // QH_CORE_TEXT_UTF8_H_
