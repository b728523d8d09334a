// Encoding of records and messages: named fields in a msgpack map. A reader
// ignores names and value types that it does not know, so that newer versions
// can add fields.

#ifndef QH_REQUESTS_WIRE_FIELD_MAP_H_
#define QH_REQUESTS_WIRE_FIELD_MAP_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "qh_core/errors/result.h"

namespace qh {

class FieldMap {
 public:
  using Value = std::variant<uint64_t, std::string, std::vector<std::string>>;

  // Parses the output of Encode. Fails with kPeerMalformed when `bytes` is
  // not a msgpack map or exceeds the limits on size and depth.
  static Result<FieldMap> Decode(std::string_view bytes);

  // Returns the fields as msgpack bytes.
  std::string Encode() const;

  // Sets the field `name` and replaces an earlier value. Zero, an empty text
  // and an empty list are not stored: a reader returns them for a missing
  // field.
  FieldMap& Set(std::string_view name, uint64_t value);
  FieldMap& Set(std::string_view name, std::string value);
  FieldMap& Set(std::string_view name, std::vector<std::string> value);

  // Returns the field `name`, or zero or an empty value when it is missing or
  // has another type.
  uint64_t Number(std::string_view name) const;
  std::string Text(std::string_view name) const;
  std::vector<std::string> List(std::string_view name) const;

  // Returns the text field `name`. Fails with kPeerMalformed when it is
  // missing, empty or of another type.
  Result<std::string> RequiredText(std::string_view name) const;

 private:
  std::map<std::string, Value, std::less<>> fields_;
};

}  // namespace qh

#endif  // QH_REQUESTS_WIRE_FIELD_MAP_H_
