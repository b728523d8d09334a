#include "qh_gateway/control/gateway_settings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "qh_core/text/utf8.h"
#include "qh_net/socket_options.h"

namespace qh {
namespace {

using Json = nlohmann::json;

// Reads the members of one JSON object and adds a line to `mistakes` for each
// member that is missing or invalid.
class SettingsReader {
 public:
  SettingsReader(const Json& json, std::string file, std::string& mistakes)
      : json_(json), file_(std::move(file)), mistakes_(mistakes) {}

  // Returns a required, non-empty string.
  std::string Text(const char* key) {
    const Json* value = Member(key, true);
    if (value != nullptr && value->is_string() &&
        !value->get_ref<const std::string&>().empty()) {
      return *value;
    }
    if (value != nullptr) {
      AddMistake(key, "must be a string that is not empty");
    }
    return {};
  }
  // Returns a required address.
  Address AddressAt(const char* key) {
    const std::string text = Text(key);
    const auto address = ParseAddress(text);
    if (!address && !text.empty()) {
      AddMistake(key, "must be host:port");
    }
    return address ? address.value() : Address();
  }
  std::optional<Address> OptionalAddress(const char* key) {
    return Member(key, false) == nullptr ? std::nullopt
                                         : std::optional(AddressAt(key));
  }
  // Returns a number of at least `minimum`, or `fallback` if the key is
  // missing.
  double Number(const char* key, double fallback, double minimum) {
    const Json* value = Member(key, false);
    if (value == nullptr) {
      return fallback;
    }
    if (value->is_number() && value->get<double>() >= minimum) {
      return value->get<double>();
    }
    AddMistake(key, "must be a number of at least " + std::to_string(minimum));
    return fallback;
  }
  bool Flag(const char* key, bool fallback) {
    const Json* value = Member(key, false);
    if (value == nullptr || value->is_boolean()) {
      return value == nullptr ? fallback : value->get<bool>();
    }
    AddMistake(key, "must be true or false");
    return fallback;
  }
  Duration Milliseconds(const char* key, Duration fallback) {
    return FromSeconds(Number(key, ToMilliseconds(fallback), 1) / 1'000);
  }
  Duration Seconds(const char* key, Duration fallback) {
    return FromSeconds(Number(key, ToSeconds(fallback), 0.001));
  }

 private:
  // Returns null if the key is missing, which is a mistake if `required`.
  const Json* Member(const char* key, bool required) {
    const auto found = json_.find(key);
    if (found != json_.end() && !found->is_null()) {
      return &*found;
    }
    if (required) {
      AddMistake(key, "is missing");
    }
    return nullptr;
  }
  void AddMistake(const char* key, const std::string& reason) {
    mistakes_ +=
        (mistakes_.empty() ? "" : "\n") + file_ + ": " + key + " " + reason;
  }

  const Json& json_;
  std::string file_;
  std::string& mistakes_;
};

}  // namespace

Result<GatewaySettings> GatewaySettings::Parse(const std::string& text,
                                               const std::string& name) {
  if (const auto invalid = DescribeInvalidUtf8(text)) {
    return Error(ErrorKind::kConfigInvalid, name + ": " + *invalid);
  }
  const Json json = Json::parse(text, nullptr, false, true);
  if (!json.is_object()) {
    return Error(ErrorKind::kConfigInvalid, name + ": not a JSON object");
  }
  std::string mistakes;
  SettingsReader reader(json, name, mistakes);
  GatewaySettings settings;
  settings.node = InstanceId(reader.Text("node"));
  settings.failure_domain = FailureDomainId(reader.Text("failure_domain"));
  settings.region = reader.Text("region");
  settings.caller_address = reader.AddressAt("callers");
  settings.readiness_address = reader.AddressAt("readiness");
  settings.locate_address = reader.AddressAt("locate");
  settings.peer_address = reader.AddressAt("peers");
  settings.metrics_address = reader.OptionalAddress("metrics");
  settings.store_address = reader.AddressAt("store");
  settings.store_reads_per_second =
      reader.Number("store_reads_per_second", 1'000, 1);
  settings.link_mbps = reader.Number("link_mbps", settings.link_mbps, 0);
  settings.memory_mb = reader.Number("memory_mb", settings.memory_mb, 1);
  settings.max_open_files =
      static_cast<uint64_t>(reader.Number("max_open_files", 0, 0));
  settings.first_start = reader.Flag("first_start", settings.first_start);
  settings.cloud_address = reader.OptionalAddress("cloud");
  settings.server_heartbeat =
      reader.Milliseconds("server_heartbeat_ms", settings.server_heartbeat);
  settings.locate_ttl =
      std::min(reader.Seconds("locate_ttl_max_s", settings.locate_ttl),
               settings.locate_ttl);
  settings.stop_grace = reader.Seconds("stop_grace_s", settings.stop_grace);
  settings.lease = reader.Milliseconds("lease_ms", settings.lease);
  settings.usage_window =
      reader.Seconds("usage_window_s", settings.usage_window);
  settings.usage_due = reader.Seconds("usage_due_s", settings.usage_due);
  settings.retry_ratio = reader.Number("repeat_ratio", settings.retry_ratio, 0);
  settings.retry_allowance =
      reader.Number("repeat_extra", settings.retry_allowance, 0);
  settings.retry_window =
      reader.Seconds("repeat_window_s", settings.retry_window);
  settings.server_drain =
      reader.Milliseconds("server_drain_ms", settings.server_drain);
  settings.config_apply =
      reader.Milliseconds("config_apply_ms", settings.config_apply);
  settings.limit_window =
      reader.Seconds("limit_window_s", settings.limit_window);
  settings.limit_overage =
      reader.Number("limit_overage", settings.limit_overage, 0);
  settings.limit_tolerance =
      reader.Number("limit_tolerance", settings.limit_tolerance, 0);
  if (json.contains("rollout_exposure_share")) {
    RolloutBounds bounds;
    bounds.exposure_share =
        reader.Number("rollout_exposure_share", bounds.exposure_share, 0);
    bounds.exposure_tolerance = reader.Number("rollout_exposure_tolerance",
                                              bounds.exposure_tolerance, 0);
    bounds.rollback_time =
        reader.Milliseconds("rollout_rollback_ms", bounds.rollback_time);
    settings.rollout_bounds = bounds;
  }
  if (!mistakes.empty()) {
    return Error(ErrorKind::kConfigInvalid, mistakes);
  }
  return settings;
}

Result<GatewaySettings> GatewaySettings::Load(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error(ErrorKind::kConfigInvalid, path + ": can't be read");
  }
  return Parse(text.str(), path);
}

}  // namespace qh
