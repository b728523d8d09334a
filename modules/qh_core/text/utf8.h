// Checks whether text from outside the process is UTF-8.

#ifndef QH_CORE_TEXT_UTF8_H_
#define QH_CORE_TEXT_UTF8_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace qh {

// A position in a text.
struct TextPosition {
  // Both start at 1. The column counts bytes.
  size_t line = 1;
  size_t column = 1;

  friend bool operator==(const TextPosition&, const TextPosition&) = default;
};

// Returns the position of the first byte that is not valid UTF-8, or nothing if
// all of `text` is valid.
std::optional<TextPosition> FindInvalidUtf8(std::string_view text);

// Returns a message for the author of `text` that says where it is not valid
// UTF-8, or nothing if all of it is valid.
std::optional<std::string> DescribeInvalidUtf8(std::string_view text);

}  // namespace qh

#endif  // QH_CORE_TEXT_UTF8_H_
