#include "benchmarks/proxy/proxy_site.h"

#include <httplib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "qh_config/manifest.h"
#include "qh_http_platform/http_platform.h"
#include "standins/common/free_ports.h"

namespace qh::bench {
namespace {

using nlohmann::json;

constexpr const char* kHost = "127.0.0.1";
// Not the address at which outgoing connections take their ports.
constexpr const char* kNodeHost = "127.0.0.2";
constexpr const char* kAdminToken = "bench-operator";
constexpr Duration kSlowInterval = std::chrono::milliseconds(200);
constexpr int kReadyTries = 2'000;
constexpr auto kReadyPoll = std::chrono::milliseconds(10);

json ToJson(const Address& address) {
  return {{"host", address.host}, {"port", address.port}};
}

json PoolJson(const char* model, const char* server, uint16_t port) {
  json pool;
  pool["models"][model]["versions"] = {"1"};
  pool["slots_per_server"] = 4'096;
  pool["servers"][server] = {
      {"host", kHost}, {"port", port}, {"failure_domain", "a"}};
  return pool;
}

}  // namespace

Result<std::unique_ptr<ProxySite>> ProxySite::Start() {
  std::unique_ptr<ProxySite> site(new ProxySite());
  BOOST_OUTCOME_TRY(site->StartAll());
  return site;
}

ProxySite::~ProxySite() {
  node_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

Address ProxySite::quick_engine() const {
  return {kHost, quick_->port()};
}

Result<void> ProxySite::StartAll() {
  BOOST_OUTCOME_TRY(platform,
                    standins::PlatformStandin::Start({.host = kHost}));
  platform_ = std::move(platform);
  BOOST_OUTCOME_TRY(
      quick, standins::EngineStandin::Start({.id = "quick", .host = kHost}));
  quick_ = std::move(quick);
  BOOST_OUTCOME_TRY(
      slow,
      standins::EngineStandin::Start(
          {.id = "slow", .host = kHost, .token_interval = kSlowInterval}));
  slow_ = std::move(slow);
  BOOST_OUTCOME_TRY(Apply());
  folder_ = std::filesystem::temp_directory_path() /
            ("qh-proxy-bench-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder_);
  const std::string file = folder_ + "/node.json";
  {
    standins::FreePorts ports;
    BOOST_OUTCOME_TRY(callers, ports.Take(kNodeHost));
    BOOST_OUTCOME_TRY(admin, ports.Take(kNodeHost));
    BOOST_OUTCOME_TRY(peers, ports.Take(kNodeHost));
    node_callers_ = {kNodeHost, callers};
    node_admin_ = {kNodeHost, admin};
    std::ofstream(file) << json{
        {"instance", "n1"},
        {"failure_domain", "a"},
        {"callers", ToJson(node_callers_)},
        {"admin", ToJson(node_admin_)},
        {"peers", ToJson({kNodeHost, peers})},
        {"platform", ToJson({kHost, platform_->port()})},
        {"admin_token", kAdminToken},
        {"peer_secret", "bench"}};
  }
  BOOST_OUTCOME_TRY(node, NodeProcess::Start(file));
  node_ = std::move(node);
  return WaitReady();
}

Result<void> ProxySite::Apply() const {
  json config = {{"deployment", "bench"}};
  config["failure_domains"]["a"] = json::object();
  config["teams"]["team"]["key_sha256"] = json::array({KeySha256(kTeamKey)});
  config["model_pools"]["quick"] =
      PoolJson(kQuickModel, "quick-1", quick_->port());
  config["model_pools"]["slow"] = PoolJson(kSlowModel, "slow-1", slow_->port());
  const std::vector<ConfigFile> files = {{"00.json", config.dump()}};
  const auto platform = HttpPlatform::Create(kHost, platform_->port());
  const auto put = [&](const std::string& key, const std::string& body) {
    return platform
               ->Call({.op = StoreOp::kPut,
                       .key = key,
                       .body = body,
                       .expected_version = {}})
               .status == StoreStatus::kOk;
  };
  if (!put(ObjectKeyOf(files[0].text), files[0].text) ||
      !put(kManifestKey, MakeManifest(1, files).Encode())) {
    return Error(ErrorKind::kInternal, "configuration not written");
  }
  return Ok();
}

Result<void> ProxySite::WaitReady() const {
  for (int tries = 0; tries < kReadyTries; ++tries) {
    httplib::Client client(node_admin_.host, node_admin_.port);
    const auto ready = client.Get("/readyz");
    if (ready && ready->status == 200) {
      return Ok();
    }
    std::this_thread::sleep_for(kReadyPoll);
  }
  return Error(ErrorKind::kNotReady, "node");
}

uint64_t ProxySite::OpenRequests() const {
  httplib::Client client(node_admin_.host, node_admin_.port);
  client.set_bearer_token_auth(kAdminToken);
  const auto reply = client.Get("/v1/status");
  const json status = reply ? json::parse(reply->body, nullptr, false) : json();
  return status.is_object() ? status.value("open_requests", uint64_t{0}) : 0;
}

}  // namespace qh::bench
