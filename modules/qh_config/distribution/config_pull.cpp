#include "qh_config/distribution/config_pull.h"

#include <map>
#include <msgpack.hpp>

namespace qh {
namespace {

// The structs below are the messages as msgpack arrays.
struct WireRequest {
  uint64_t have_version = 0;
  std::vector<std::string> missing;
  MSGPACK_DEFINE_ARRAY(have_version, missing)
};

struct WirePair {
  std::string first;
  std::string second;
  MSGPACK_DEFINE_ARRAY(first, second)
};

struct WireReply {
  uint64_t version = 0;
  uint64_t base_version = 0;
  std::vector<WirePair> changed;
  std::vector<std::string> removed;
  std::vector<WirePair> objects;
  MSGPACK_DEFINE_ARRAY(version, base_version, changed, removed, objects)
};

template <typename Wire>
std::string Pack(const Wire& wire) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, wire);
  return {buffer.data(), buffer.size()};
}

template <typename Wire>
Result<Wire> Unpack(std::string_view bytes) {
  try {
    Wire wire;
    msgpack::unpack(bytes.data(), bytes.size()).get().convert(wire);
    return wire;
  } catch (const std::exception& error) {
    return Error(ErrorKind::kPeerMalformed,
                 std::string("config pull: ") + error.what());
  }
}

}  // namespace

std::string ConfigPullRequest::Encode() const {
  return Pack(WireRequest{have_version, missing});
}

Result<ConfigPullRequest> ConfigPullRequest::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(wire, Unpack<WireRequest>(bytes));
  return ConfigPullRequest{wire.have_version, std::move(wire.missing)};
}

std::string ConfigPullReply::Encode() const {
  WireReply wire{version, base_version, {}, removed, {}};
  for (const ManifestEntry& entry : changed) {
    wire.changed.push_back({entry.name, entry.object_key});
  }
  for (const ConfigObject& object : objects) {
    wire.objects.push_back({object.key, object.text});
  }
  return Pack(wire);
}

Result<ConfigPullReply> ConfigPullReply::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(wire, Unpack<WireReply>(bytes));
  ConfigPullReply reply{
      wire.version, wire.base_version, {}, std::move(wire.removed), {}};
  for (WirePair& entry : wire.changed) {
    reply.changed.push_back({std::move(entry.first), std::move(entry.second)});
  }
  for (WirePair& object : wire.objects) {
    reply.objects.push_back(
        {std::move(object.first), std::move(object.second)});
  }
  return reply;
}

ConfigPullReply DeltaBetween(const Manifest& from, const Manifest& to) {
  std::map<std::string, std::string> before;
  for (const ManifestEntry& entry : from.entries) {
    before[entry.name] = entry.object_key;
  }
  ConfigPullReply delta;
  delta.version = to.version;
  delta.base_version = from.version;
  for (const ManifestEntry& entry : to.entries) {
    const auto found = before.find(entry.name);
    if (found == before.end() || found->second != entry.object_key) {
      delta.changed.push_back(entry);
    }
    if (found != before.end()) {
      before.erase(found);
    }
  }
  for (const auto& [name, key] : before) {
    delta.removed.push_back(name);
  }
  return delta;
}

Result<Manifest> ApplyDelta(const Manifest& base,
                            const ConfigPullReply& delta) {
  std::map<std::string, std::string> entries;
  if (delta.base_version != 0) {
    if (delta.base_version != base.version) {
      return Error(ErrorKind::kPeerMalformed,
                   "config pull: delta is based on version " +
                       std::to_string(delta.base_version) +
                       ", expected version " + std::to_string(base.version));
    }
    for (const ManifestEntry& entry : base.entries) {
      entries[entry.name] = entry.object_key;
    }
  }
  for (const std::string& name : delta.removed) {
    entries.erase(name);
  }
  for (const ManifestEntry& entry : delta.changed) {
    entries[entry.name] = entry.object_key;
  }
  Manifest manifest;
  manifest.version = delta.version;
  for (auto& [name, key] : entries) {
    manifest.entries.push_back({name, key});
  }
  return manifest;
}

}  // namespace qh
