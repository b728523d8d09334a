#include "qh_config/loading/document.h"

#include <algorithm>
#include <set>

#include "qh_core/text/utf8.h"

namespace qh {
namespace {

using nlohmann::json;

// Builds a value from the parser's events. The parser's own builder would drop
// the first of two equal keys unseen.
class Builder : public nlohmann::json_sax<json> {
 public:
  Builder(const std::string& file, std::vector<ConfigMistake>& mistakes)
      : file_(file), mistakes_(mistakes) {}

  json& root() { return root_; }
  // Key at which a fault ended the reading.
  const KeyPath& fault_path() const { return fault_path_; }

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
  bool start_object(size_t /*size*/) override { return Open(json::object()); }
  bool end_object() override { return Close(); }
  bool start_array(size_t /*size*/) override { return Open(json::array()); }
  bool end_array() override { return Close(); }

  bool key(json::string_t& name) override {
    Level& level = levels_.back();
    level.key = name;
    if (!level.seen.insert(name).second) {
      mistakes_.push_back({file_, ToText(Path()),
                           "duplicate: the key stands twice in one object"});
    }
    return true;
  }

  bool parse_error(size_t /*position*/,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    const std::string text = error.what();
    const size_t start = text.find("parse error");
    fault_path_ = Path();
    mistakes_.push_back(
        {file_, ToText(fault_path_),
         "JSON fault: " + text.substr(start == std::string::npos ? 0 : start)});
    return false;
  }

 private:
  struct Level {
    json* value = nullptr;
    // Last key seen, when `value` is an object.
    std::string key;
    std::set<std::string> seen;
  };

  json* Place(json value) {
    if (levels_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    Level& level = levels_.back();
    if (level.value->is_array()) {
      level.value->push_back(std::move(value));
      return &level.value->back();
    }
    json& slot = (*level.value)[level.key];
    slot = std::move(value);
    return &slot;
  }

  bool Add(json value) {
    Place(std::move(value));
    return true;
  }

  bool Open(json value) {
    json* placed = Place(std::move(value));
    levels_.push_back({placed, "", {}});
    return true;
  }

  bool Close() {
    levels_.pop_back();
    return true;
  }

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
  KeyPath fault_path_;
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
  // The JSON reader looks at strings only, not at comments.
  if (const auto invalid = DescribeInvalidUtf8(text)) {
    mistakes_.push_back({file, "", *invalid});
    faulty_texts_.push_back(text);
    fault_paths_.emplace_back();
    return;
  }
  Builder builder(file, mistakes_);
  const bool whole = json::sax_parse(text, &builder, json::input_format_t::json,
                                     /*strict=*/true, /*ignore_comments=*/true);
  if (!whole) {
    faulty_texts_.push_back(text);
    fault_paths_.push_back(builder.fault_path());
  }
  if (!builder.root().is_object()) {
    if (whole) {
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
  for (const std::string& text : faulty_texts_) {
    if (text.find("\"" + name + "\"") != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool Document::IsCutOff(const KeyPath& path) const {
  for (const KeyPath& fault : fault_paths_) {
    if (fault.size() >= path.size() &&
        std::equal(path.begin(), path.end(), fault.begin())) {
      return true;
    }
  }
  return false;
}

}  // namespace qh
