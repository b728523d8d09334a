// Names of enum values, with one table for each enum. ToName, FromName and
// NameList work for an enum that has a specialization of kEnumNames.

#ifndef QH_CORE_TEXT_ENUM_TABLE_H_
#define QH_CORE_TEXT_ENUM_TABLE_H_

#include <cassert>
#include <optional>
#include <string>
#include <string_view>

namespace qh {

template <typename E>
struct EnumName {
  E value;
  std::string_view name;
};

// To be specialized for each enum as an array of EnumName<E>.
template <typename E>
inline constexpr std::nullptr_t kEnumNames = nullptr;

// Returns the name of `value`, which must be in the table.
template <typename E>
std::string_view ToName(E value) {
  for (const EnumName<E>& row : kEnumNames<E>) {
    if (row.value == value) {
      return row.name;
    }
  }
  assert(false && "value missing in its enum table");
  return "?";
}

// Returns the value called `name`, or nothing.
template <typename E>
std::optional<E> FromName(std::string_view name) {
  for (const EnumName<E>& row : kEnumNames<E>) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

// Returns all names, separated by ", ", for error messages.
template <typename E>
std::string NameList() {
  std::string list;
  for (const EnumName<E>& row : kEnumNames<E>) {
    list += list.empty() ? "" : ", ";
    list += row.name;
  }
  return list;
}

}  // namespace qh

#endif  // QH_CORE_TEXT_ENUM_TABLE_H_
