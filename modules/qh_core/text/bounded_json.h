// Reads JSON and MessagePack from outside the process so that one odd part
// harms only itself: the depth is bounded before anything recurses, and the
// parts of a list are split from each other before they are parsed.

#ifndef QH_CORE_TEXT_BOUNDED_JSON_H_
#define QH_CORE_TEXT_BOUNDED_JSON_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace qh {

// Deeper values are refused. Copying, comparing and writing a value recurse.
inline constexpr size_t kMaxJsonDepth = 64;

// One member of a JSON object, as text. The key is without its quotes, and its
// escapes are as they were written.
struct JsonMember {
  std::string_view key;
  std::string_view value;
};

// Whether arrays and objects in `text` are nested deeper than kMaxJsonDepth.
bool IsJsonTooDeep(std::string_view text);
// Whether `bytes` is MessagePack that is malformed or nested deeper than
// kMaxJsonDepth.
bool IsMessagePackTooDeep(std::string_view bytes);
// Returns the parsed text; a discarded value if it is malformed or too deep.
nlohmann::json ParseBoundedJson(std::string_view text);

// Split the outermost array or object of `text` without a look at what is in
// its parts. Return nullopt if it is no array or object, or isn't closed.
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text);
std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view text);

// Returns the value of the first member called `key`; empty if there is none.
std::string_view FindMember(const std::vector<JsonMember>& members,
                            std::string_view key);

}  // namespace qh

#endif  // QH_CORE_TEXT_BOUNDED_JSON_H_
