#include "qh_core/text/bounded_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace qh {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kSpace = " \t\r\n";

std::string_view Trimmed(std::string_view text) {
  const size_t begin = std::min(text.find_first_not_of(kSpace), text.size());
  const size_t end = text.find_last_not_of(kSpace);
  return end == std::string_view::npos ? std::string_view()
                                       : text.substr(begin, end + 1 - begin);
}

// Follows the nesting of a JSON text byte by byte. Brackets within strings
// don't count.
class Nesting {
 public:
  void Feed(char c) {
    if (in_string_) {
      in_string_ = escaped_ || c != '"';
      escaped_ = !escaped_ && c == '\\';
      return;
    }
    in_string_ = c == '"';
    if (c == '[' || c == '{') {
      ++depth_;
    } else if ((c == ']' || c == '}') && depth_ > 0) {
      --depth_;
    }
  }

  bool in_string() const { return in_string_; }
  size_t depth() const { return depth_; }

 private:
  bool in_string_ = false;
  bool escaped_ = false;
  size_t depth_ = 0;
};

// Returns the comma-separated parts between the outermost brackets `open` and
// `close`; nullopt if the text does not begin and end with them.
std::optional<std::vector<std::string_view>> SplitParts(std::string_view text,
                                                        char open,
                                                        char close) {
  text = Trimmed(text);
  if (text.size() < 2 || text.front() != open || text.back() != close) {
    return std::nullopt;
  }
  std::vector<std::string_view> parts;
  Nesting nesting;
  size_t begin = 1;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool ends_part =
        !nesting.in_string() && nesting.depth() == 1 && text[i] == ',';
    nesting.Feed(text[i]);
    if (ends_part) {
      parts.push_back(Trimmed(text.substr(begin, i - begin)));
      begin = i + 1;
    }
    if (nesting.depth() == 0 && i + 1 < text.size()) {
      return std::nullopt;
    }
  }
  if (nesting.depth() != 0 || nesting.in_string()) {
    return std::nullopt;
  }
  const auto last = Trimmed(text.substr(begin, text.size() - 1 - begin));
  if (!last.empty() || !parts.empty()) {
    parts.push_back(last);
  }
  return parts;
}

// Splits "key":value. Returns a member without key if `part` is none.
JsonMember ToMember(std::string_view part) {
  Nesting nesting;
  for (size_t i = 0; i < part.size(); ++i) {
    if (!nesting.in_string() && part[i] == ':') {
      const auto key = Trimmed(part.substr(0, i));
      return key.size() < 2 ? JsonMember()
                            : JsonMember{key.substr(1, key.size() - 2),
                                         Trimmed(part.substr(i + 1))};
    }
    nesting.Feed(part[i]);
  }
  return {};
}

// Accepts everything up to kMaxJsonDepth.
class DepthCheck : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(int64_t /*value*/) override { return true; }
  bool number_unsigned(uint64_t /*value*/) override { return true; }
  bool number_float(double /*value*/, const std::string& /*text*/) override {
    return true;
  }
  bool string(std::string& /*value*/) override { return true; }
  bool binary(Json::binary_t& /*value*/) override { return true; }
  bool key(std::string& /*value*/) override { return true; }
  bool start_object(size_t /*size*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(size_t /*size*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool Enter() { return ++depth_ <= kMaxJsonDepth; }
  bool Leave() {
    --depth_;
    return true;
  }

  size_t depth_ = 0;
};

}  // namespace

bool IsJsonTooDeep(std::string_view text) {
  Nesting nesting;
  return std::any_of(text.begin(), text.end(), [&](char c) {
    nesting.Feed(c);
    return nesting.depth() > kMaxJsonDepth;
  });
}

bool IsMessagePackTooDeep(std::string_view bytes) {
  DepthCheck check;
  return !Json::sax_parse(bytes, &check, Json::input_format_t::msgpack);
}

nlohmann::json ParseBoundedJson(std::string_view text) {
  return IsJsonTooDeep(text) ? Json(Json::value_t::discarded)
                             : Json::parse(text, nullptr, false);
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text) {
  return SplitParts(text, '[', ']');
}

std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view text) {
  const auto parts = SplitParts(text, '{', '}');
  if (!parts) {
    return std::nullopt;
  }
  std::vector<JsonMember> members;
  std::transform(parts->begin(), parts->end(), std::back_inserter(members),
                 ToMember);
  return members;
}

std::string_view FindMember(const std::vector<JsonMember>& members,
                            std::string_view key) {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const JsonMember& member) { return member.key == key; });
  return found == members.end() ? std::string_view() : found->value;
}

}  // namespace qh
