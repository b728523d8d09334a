// Schemas of the configuration folder and of a node's settings file: one row
// for each key that the files may hold. The checks, the defaults and the
// operators' reference page are generated from them.

#ifndef QH_CONFIG_SCHEMA_SCHEMA_H_
#define QH_CONFIG_SCHEMA_SCHEMA_H_

#include <string>
#include <vector>

#include "qh_core/text/enum_table.h"

namespace qh {

enum class ValueType {
  // An object with fixed keys, each of which has its own row.
  kObject,
  // An object whose keys are ids chosen by operators. The row "<path>.*"
  // describes its values.
  kMap,
  kString,
  kStringList,
  kBoolean,
  kInteger,
  kNumber,
  // One of the row's choices.
  kChoice,
  // A numeric IPv4 or IPv6 address.
  kIpAddress,
  // A path that starts with '/'.
  kPath,
  // A list of SHA-256 hashes, 64 lower-case hexadecimal digits each.
  kHashList,
};

template <>
inline constexpr EnumName<ValueType> kEnumNames<ValueType>[] = {
    {ValueType::kObject, "object"},
    {ValueType::kMap, "map of ids"},
    {ValueType::kString, "string"},
    {ValueType::kStringList, "list of strings"},
    {ValueType::kBoolean, "true or false"},
    {ValueType::kInteger, "integer"},
    {ValueType::kNumber, "number"},
    {ValueType::kChoice, "choice"},
    {ValueType::kIpAddress, "IP address"},
    {ValueType::kPath, "path"},
    {ValueType::kHashList, "list of SHA-256 hashes"},
};

// Describes one key.
struct SchemaRow {
  // Names joined by '.'; '*' stands for an id.
  std::string path;
  ValueType type = ValueType::kString;
  // What the key means, for the reference page. Names its unit.
  std::string doc;
  bool required = false;
  // JSON text of the value that is used when the key is absent. Empty for
  // required keys, objects and maps.
  std::string default_value;
  // Bounds of integers and numbers, both included.
  double min = 0;
  double max = 0;
  // Accepted values of kChoice.
  std::vector<std::string> choices;
  // Top-level map in which the value must be an id; empty if the value is no
  // reference.
  std::string reference;
};

// Invariant: the row of a parent precedes the rows of its children.
using Schema = std::vector<SchemaRow>;

// Returns the schema of the configuration folder.
const Schema& ConfigSchema();

// Returns the schema of a node's settings file.
const Schema& NodeSettingsSchema();

// Returns the row with this path, or null if there is none.
const SchemaRow* FindRow(const Schema& schema, const std::string& path);

// Returns the last names of the rows directly below `path`; "" is the root.
std::vector<std::string> ChildNames(const Schema& schema,
                                    const std::string& path);

}  // namespace qh

#endif  // QH_CONFIG_SCHEMA_SCHEMA_H_
