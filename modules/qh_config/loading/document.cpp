#include "qh_config/loading/document.h"

#include <algorithm>
#include <set>

#include "qh_core/text/utf8.h"

namespace qh {
namespace {

using nlohmann::json;

// Builds a JSON value from parser events and reports duplicate keys. The
// library's own builder silently drops the first of two equal keys.
class DocumentBuilder : public nlohmann::json_sax<json> {
 public:
  DocumentBuilder(const std::string& file, std::vector<ConfigMistake>& mistakes)
      : file_(file), mistakes_(mistakes) {}

  json& root() { return root_; }
  // Path at which a syntax error stopped the parser.
  const KeyPath& error_path() const { return error_path_; }

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(json::number_integer_t value) override {
    return Add(value);
  }
  bool number_unsigned(json::number_unsigned_t value) override {
    return Add(value);
  }
  bool number_float(json::number_float_t value,
                    const json::string_t& /*text*/) override {
    return Add(value);
  }
  bool string(json::string_t& value) override { return Add(value); }
  bool binary(json::binary_t& /*value*/) override { return false; }
  bool start_object(size_t /*size*/) override {
    return OpenContainer(json::object());
  }
  bool end_object() override { return CloseContainer(); }
  bool start_array(size_t /*size*/) override {
    return OpenContainer(json::array());
  }
  bool end_array() override { return CloseContainer(); }

  bool key(json::string_t& name) override {
    Level& level = levels_.back();
    level.key = name;
    if (!level.keys.insert(name).second) {
      mistakes_.push_back({file_, ToText(Path()),
                           "duplicate: the key appears twice in one object"});
    }
    return true;
  }

  bool parse_error(size_t /*position*/,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    const std::string text = error.what();
    const size_t start = text.find("parse error");
    error_path_ = Path();
    mistakes_.push_back(
        {file_, ToText(error_path_),
         "JSON fault: " + text.substr(start == std::string::npos ? 0 : start)});
    return false;
  }

 private:
  // An object or array that is not closed yet.
  struct Level {
    json* value = nullptr;
    // Last key seen, when `value` is an object.
    std::string key;
    // All keys seen, when `value` is an object.
    std::set<std::string> keys;
  };

  // Adds `value` to the innermost open container and returns its address.
  json* Insert(json value) {
    if (levels_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    Level& level = levels_.back();
    if (level.value->is_array()) {
      level.value->push_back(std::move(value));
      return &level.value->back();
    }
    json& member = (*level.value)[level.key];
    member = std::move(value);
    return &member;
  }

  bool Add(json value) {
    Insert(std::move(value));
    return true;
  }

  bool OpenContainer(json value) {
    json* inserted = Insert(std::move(value));
    levels_.push_back({inserted, "", {}});
    return true;
  }

  bool CloseContainer() {
    levels_.pop_back();
    return true;
  }

  // Path of the value being parsed; without array positions.
  KeyPath Path() const {
    KeyPath path;
    for (const Level& level : levels_) {
      if (!level.key.empty()) {
        path.push_back(level.key);
      }
    }
    return path;
  }

  const std::string& file_;
  std::vector<ConfigMistake>& mistakes_;
  json root_;
  std::vector<Level> levels_;
  KeyPath error_path_;
};

}  // namespace

std::string ToText(const KeyPath& path) {
  std::string text;
  for (const std::string& name : path) {
    text += (text.empty() ? "" : ".") + name;
  }
  return text;
}

void Document::Merge(const std::string& file, const std::string& text) {
  // The JSON parser checks the encoding of strings only, not of comments.
  if (const auto invalid = DescribeInvalidUtf8(text)) {
    mistakes_.push_back({file, "", *invalid});
    unparsed_texts_.push_back(text);
    error_paths_.emplace_back();
    return;
  }
  DocumentBuilder builder(file, mistakes_);
  const bool parsed =
      json::sax_parse(text, &builder, json::input_format_t::json,
                      /*strict=*/true, /*ignore_comments=*/true);
  if (!parsed) {
    unparsed_texts_.push_back(text);
    error_paths_.push_back(builder.error_path());
  }
  if (!builder.root().is_object()) {
    if (parsed) {
      mistakes_.push_back(
          {file, "", "wrong type: the file must hold an object"});
    }
    return;
  }
  KeyPath path;
  MergeValue(file, builder.root(), root_, path);
}

void Document::MergeValue(const std::string& file,
                          const json& from,
                          json& to,
                          KeyPath& path) {
  files_[path] = file;
  if (!from.is_object()) {
    to = from;
    return;
  }
  if (!to.is_object()) {
    to = json::object();
  }
  for (const auto& [name, value] : from.items()) {
    path.push_back(name);
    MergeValue(file, value, to[name], path);
    path.pop_back();
  }
}

std::string Document::FileOf(KeyPath path) const {
  for (;;) {
    const auto found = files_.find(path);
    if (found != files_.end()) {
      return found->second;
    }
    if (path.empty()) {
      return "(folder)";
    }
    path.pop_back();
  }
}

bool Document::MayDefine(const std::string& name) const {
  for (const std::string& text : unparsed_texts_) {
    if (text.find("\"" + name + "\"") != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool Document::IsTruncated(const KeyPath& path) const {
  for (const KeyPath& error_path : error_paths_) {
    if (error_path.size() >= path.size() &&
        std::equal(path.begin(), path.end(), error_path.begin())) {
      return true;
    }
  }
  return false;
}

}  // namespace qh
