#include "qh_core/text/utf8.h"

#include <boost/locale/utf.hpp>

namespace qh {

std::optional<TextPosition> FindInvalidUtf8(std::string_view text) {
  namespace utf = boost::locale::utf;
  TextPosition position;
  const char* at = text.data();
  const char* const end = at + text.size();
  while (at != end) {
    const char* const start = at;
    const utf::code_point point = utf::utf_traits<char>::decode(at, end);
    if (point == utf::illegal || point == utf::incomplete) {
      return position;
    }
    if (point == '\n') {
      ++position.line;
      position.column = 1;
    } else {
      position.column += static_cast<size_t>(at - start);
    }
  }
  return std::nullopt;
}

std::optional<std::string> DescribeInvalidUtf8(std::string_view text) {
  const std::optional<TextPosition> position = FindInvalidUtf8(text);
  if (!position) {
    return std::nullopt;
  }
  return "not UTF-8: line " + std::to_string(position->line) + ", column " +
         std::to_string(position->column);
}

}  // namespace qh
