#include "qh_config/loading/schema_checker.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <sstream>

namespace qh {
namespace {

using nlohmann::json;

constexpr size_t kMaxIdLength = 128;
constexpr size_t kHashDigits = 64;

// Levenshtein distance: the number of insertions, deletions and replacements of
// single characters.
size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (size_t i = 0; i < a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i + 1;
    for (size_t j = 0; j < b.size(); ++j) {
      const size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

// Returns the element of `names` that is most similar to `name`, as a hint at a
// misspelling. Empty if there are no names.
std::string ClosestName(const std::string& name,
                        const std::vector<std::string>& names) {
  const auto closest = std::min_element(
      names.begin(), names.end(), [&](const auto& a, const auto& b) {
        return EditDistance(name, a) < EditDistance(name, b);
      });
  return closest == names.end() ? "" : *closest;
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

bool IsStringList(const json& value) {
  return value.is_array() &&
         std::all_of(value.begin(), value.end(),
                     [](const json& item) { return item.is_string(); });
}

bool IsHash(const std::string& text) {
  return text.size() == kHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Ids are used in URLs, object keys and log lines, so only characters that need
// no escaping are allowed.
bool IsId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789._-") == std::string::npos;
}

bool HasType(ValueType type, const json& value) {
  switch (type) {
    case ValueType::kObject:
    case ValueType::kMap:
      return value.is_object();
    case ValueType::kString:
    case ValueType::kChoice:
    case ValueType::kIpAddress:
    case ValueType::kPath:
      return value.is_string();
    case ValueType::kStringList:
    case ValueType::kHashList:
      return IsStringList(value);
    case ValueType::kBoolean:
      return value.is_boolean();
    case ValueType::kInteger:
      return value.is_number_integer();
    case ValueType::kNumber:
      return value.is_number();
  }
  return false;
}

std::string ChildPath(const std::string& pattern, const std::string& name) {
  return pattern.empty() ? name : pattern + "." + name;
}

}  // namespace

SchemaChecker::SchemaChecker(const Schema& schema,
                             Document& document,
                             ConfigMode mode)
    : schema_(schema), document_(document), mode_(mode) {}

void SchemaChecker::Check() {
  CheckObject("", document_.root());
}

void SchemaChecker::Report(const std::string& reason) {
  mistakes_.push_back({document_.FileOf(path_), ToText(path_), reason});
}

void SchemaChecker::CheckObject(const std::string& pattern, json& value) {
  CheckUnknown(pattern, value);
  for (const std::string& name : ChildNames(schema_, pattern)) {
    const SchemaRow& row = *FindRow(schema_, ChildPath(pattern, name));
    path_.push_back(name);
    CheckPresence(row, name, value);
    if (value.contains(name)) {
      CheckValue(row, value[name]);
    }
    path_.pop_back();
  }
}

void SchemaChecker::CheckPresence(const SchemaRow& row,
                                  const std::string& name,
                                  json& parent) {
  if (parent.contains(name)) {
    return;
  }
  if (row.required) {
    const KeyPath parent_path(path_.begin(), path_.end() - 1);
    if (!document_.MayDefine(name) && !document_.IsTruncated(parent_path)) {
      Report("missing: the key is required");
    }
    return;
  }
  parent[name] = row.default_value.empty() ? json::object()
                                           : json::parse(row.default_value);
}

void SchemaChecker::CheckUnknown(const std::string& pattern,
                                 const json& value) {
  const std::vector<std::string> known = ChildNames(schema_, pattern);
  for (const auto& [name, unused] : value.items()) {
    if (std::find(known.begin(), known.end(), name) != known.end()) {
      continue;
    }
    path_.push_back(name);
    if (mode_ == ConfigMode::kTolerant) {
      ignored_keys_.push_back(ToText(path_));
    } else {
      Report("unknown key; the nearest known one is \"" +
             ClosestName(name, known) + "\"");
    }
    path_.pop_back();
  }
}

void SchemaChecker::CheckMap(const std::string& pattern, json& value) {
  const SchemaRow& row = *FindRow(schema_, pattern + ".*");
  for (auto& [id, item] : value.items()) {
    path_.push_back(id);
    if (!IsId(id)) {
      Report("malformed id: 1 to 128 of letters, digits, '.', '_' and '-'");
    }
    CheckValue(row, item);
    path_.pop_back();
  }
}

void SchemaChecker::CheckValue(const SchemaRow& row, json& value) {
  if (!HasType(row.type, value)) {
    return Report("wrong type: expected " + std::string(ToName(row.type)) +
                  ", found " + value.type_name());
  }
  switch (row.type) {
    case ValueType::kObject:
      return CheckObject(row.path, value);
    case ValueType::kMap:
      return CheckMap(row.path, value);
    case ValueType::kInteger:
    case ValueType::kNumber:
      return CheckNumber(row, value);
    case ValueType::kChoice:
      return CheckChoice(row, value);
    case ValueType::kIpAddress:
      if (!IsIpAddress(value.get<std::string>())) {
        Report("malformed: expected an IP address in numbers");
      }
      return;
    case ValueType::kPath:
      if (!value.get<std::string>().starts_with('/')) {
        Report("malformed: expected a path that starts with '/'");
      }
      return;
    case ValueType::kHashList:
      if (!std::all_of(value.begin(), value.end(), [](const json& item) {
            return IsHash(item.get<std::string>());
          })) {
        Report("malformed: expected 64 lower-case hexadecimal digits each");
      }
      return;
    case ValueType::kString:
      return CheckString(row, value);
    case ValueType::kStringList:
      if (row.required && value.empty()) {
        Report("out of range: the list must not be empty");
      }
      return;
    case ValueType::kBoolean:
      return;
  }
}

void SchemaChecker::CheckNumber(const SchemaRow& row, const json& value) {
  const auto number = value.get<double>();
  if (number < row.min || number > row.max) {
    std::ostringstream text;
    text.precision(15);
    text << "out of range: " << value.dump() << " is not within " << row.min
         << " to " << row.max;
    Report(text.str());
  }
}

void SchemaChecker::CheckChoice(const SchemaRow& row, json& value) {
  if (std::find(row.choices.begin(), row.choices.end(), value) !=
      row.choices.end()) {
    return;
  }
  if (mode_ == ConfigMode::kTolerant && !row.required) {
    ignored_keys_.push_back(ToText(path_));
    value = json::parse(row.default_value);
    return;
  }
  Report("out of range: " + value.dump() + " is none of " +
         JoinNames(row.choices));
}

void SchemaChecker::CheckString(const SchemaRow& row, const json& value) {
  const auto id = value.get<std::string>();
  if (id.empty()) {
    if (row.required) {
      Report("out of range: the value must not be empty");
    }
    return;
  }
  if (row.reference.empty() || document_.MayDefine(id)) {
    return;
  }
  const json& root = document_.root();
  const auto section = root.find(row.reference);
  if (section == root.end() || !section->is_object() ||
      !section->contains(id)) {
    Report("bad reference: \"" + id + "\" is not in " + row.reference);
  }
}

}  // namespace qh
