#include "qh_requests/wire/field_map.h"

#include <msgpack.hpp>
#include <optional>

namespace qh {
namespace {

// Limits on decoding, so that a malformed message cannot exhaust the memory.
constexpr size_t kMaxFields = 256;
constexpr size_t kMaxListItems = 1 << 20;
constexpr size_t kMaxBytes = 16 << 20;
constexpr size_t kMaxDepth = 4;

using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& packer, const std::string& text) {
  packer.pack_str(static_cast<uint32_t>(text.size()));
  packer.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
}

void Pack(Packer& packer, uint64_t number) {
  packer.pack_uint64(number);
}

void Pack(Packer& packer, const std::vector<std::string>& list) {
  packer.pack_array(static_cast<uint32_t>(list.size()));
  for (const std::string& text : list) {
    Pack(packer, text);
  }
}

std::optional<std::string> TextOf(const msgpack::object& object) {
  if (object.type != msgpack::type::STR) {
    return std::nullopt;
  }
  return std::string(object.via.str.ptr, object.via.str.size);
}

std::optional<std::vector<std::string>> ListOf(const msgpack::object& object) {
  std::vector<std::string> list;
  for (uint32_t i = 0; i < object.via.array.size; ++i) {
    auto text = TextOf(object.via.array.ptr[i]);
    if (!text) {
      return std::nullopt;
    }
    list.push_back(std::move(*text));
  }
  return list;
}

std::optional<FieldMap::Value> ValueOf(const msgpack::object& object) {
  if (object.type == msgpack::type::POSITIVE_INTEGER) {
    return object.via.u64;
  }
  if (object.type == msgpack::type::ARRAY) {
    return ListOf(object);
  }
  return TextOf(object);
}

}  // namespace

Result<FieldMap> FieldMap::Decode(std::string_view bytes) {
  FieldMap fields;
  try {
    const msgpack::unpack_limit limit(kMaxListItems, kMaxFields, kMaxBytes,
                                      kMaxBytes, kMaxBytes, kMaxDepth);
    const auto handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::MAP) {
      return Error(ErrorKind::kPeerMalformed, "not a map");
    }
    for (uint32_t i = 0; i < object.via.map.size; ++i) {
      const auto name = TextOf(object.via.map.ptr[i].key);
      auto value = ValueOf(object.via.map.ptr[i].val);
      if (name && value) {
        fields.fields_[*name] = std::move(*value);
      }
    }
  } catch (const std::exception& error) {
    return Error(ErrorKind::kPeerMalformed, error.what());
  }
  return fields;
}

std::string FieldMap::Encode() const {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_map(static_cast<uint32_t>(fields_.size()));
  for (const auto& [name, value] : fields_) {
    Pack(packer, name);
    std::visit([&](const auto& held) { Pack(packer, held); }, value);
  }
  return {buffer.data(), buffer.size()};
}

FieldMap& FieldMap::Set(std::string_view name, uint64_t value) {
  if (value != 0) {
    fields_[std::string(name)] = value;
  }
  return *this;
}

FieldMap& FieldMap::Set(std::string_view name, std::string value) {
  if (!value.empty()) {
    fields_[std::string(name)] = std::move(value);
  }
  return *this;
}

FieldMap& FieldMap::Set(std::string_view name, std::vector<std::string> value) {
  if (!value.empty()) {
    fields_[std::string(name)] = std::move(value);
  }
  return *this;
}

uint64_t FieldMap::Number(std::string_view name) const {
  const auto it = fields_.find(name);
  const auto* held =
      it == fields_.end() ? nullptr : std::get_if<uint64_t>(&it->second);
  return held == nullptr ? 0 : *held;
}

std::string FieldMap::Text(std::string_view name) const {
  const auto it = fields_.find(name);
  const auto* held =
      it == fields_.end() ? nullptr : std::get_if<std::string>(&it->second);
  return held == nullptr ? std::string() : *held;
}

std::vector<std::string> FieldMap::List(std::string_view name) const {
  const auto it = fields_.find(name);
  const auto* held = it == fields_.end()
                         ? nullptr
                         : std::get_if<std::vector<std::string>>(&it->second);
  return held == nullptr ? std::vector<std::string>() : *held;
}

Result<std::string> FieldMap::RequiredText(std::string_view name) const {
  std::string text = Text(name);
  if (text.empty()) {
    return Error(ErrorKind::kPeerMalformed,
                 "field " + std::string(name) + " is missing");
  }
  return text;
}

}  // namespace qh
