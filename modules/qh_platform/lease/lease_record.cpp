#include "qh_platform/lease/lease_record.h"

#include <nlohmann/json.hpp>

namespace qh {
namespace {

using nlohmann::json;

// Records with a longer duration are malformed, so that a faulty record cannot
// keep other nodes waiting for longer.
constexpr int64_t kMaxDurationMs = 3'600'000;

}  // namespace

std::string LeaseRecord::Encode() const {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return json{{"holder", holder},     {"incarnation", incarnation},
              {"nonce", nonce},       {"fencing", fencing},
              {"released", released}, {"duration_ms", ms.count()}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<LeaseRecord> LeaseRecord::Decode(const std::string& body) {
  const json root = json::parse(body, nullptr, false);
  const auto malformed = [] {
    return Error(ErrorKind::kPeerMalformed, "lease record is malformed");
  };
  if (!root.is_object()) {
    return malformed();
  }
  LeaseRecord record;
  try {
    record.holder = root.at("holder").get<std::string>();
    record.incarnation = root.at("incarnation").get<std::string>();
    record.nonce = root.at("nonce").get<uint64_t>();
    record.fencing = root.at("fencing").get<uint64_t>();
    record.released = root.at("released").get<bool>();
    const auto ms = root.at("duration_ms").get<int64_t>();
    if (ms < 0 || ms > kMaxDurationMs) {
      return malformed();
    }
    record.duration = std::chrono::milliseconds(ms);
  } catch (const json::exception&) {
    return malformed();
  }
  return record;
}

std::string LeaseKey(const std::string& shard, uint64_t store_epoch) {
  const std::string key = "leases/" + shard;
  return store_epoch == 0 ? key : key + "-epoch-" + std::to_string(store_epoch);
}

}  // namespace qh
