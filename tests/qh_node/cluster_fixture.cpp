#include "qh_node/cluster_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

#include "qh_config/manifest.h"
#include "qh_http/http_listener.h"
#include "qh_http_platform/http_platform.h"

namespace qh {
namespace {

using nlohmann::json;

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kTeamKey = "kitchen-key";
constexpr const char* kAdminToken = "admin";
constexpr int kMaxWaitPolls = 3'000;
constexpr auto kDrainTimeout = std::chrono::seconds(30);
constexpr auto kWaitPollInterval = std::chrono::milliseconds(5);

// Returns a port that was free when this function checked it.
uint16_t FreePort() {
  HttpListener listener(1);
  return listener.Listen(kHost, 0).value();
}

// Polls `condition` until it is true. Fails the test after 15 s.
void WaitFor(const std::string& what, const std::function<bool()>& condition) {
  for (int polls = 0; polls < kMaxWaitPolls; ++polls) {
    if (condition()) {
      return;
    }
    std::this_thread::sleep_for(kWaitPollInterval);
  }
  FAIL("timed out waiting for " << what);
}

// Returns the number of ready members in a node's status.
size_t ReadyMembers(const json& status) {
  const json& members = status["members"];
  return static_cast<size_t>(std::count_if(
      members.begin(), members.end(),
      [](const json& member) { return member["ready"] == true; }));
}

json ServerJson(uint16_t port) {
  return {{"host", kHost}, {"port", port}, {"failure_domain", "d0"}};
}

}  // namespace

Cluster::Cluster(const ClusterOptions& options)
    : platform_(
          standins::PlatformStandin::Start({.host = kHost, .port = 0}).value()),
      service_(standins::ServiceStandin::Start(
                   {.id = "s1", .host = kHost, .work = options.service_work})
                   .value()) {
  for (int i = 0; i < options.engines; ++i) {
    engines_.push_back(standins::EngineStandin::Start(
                           {.id = "e" + std::to_string(i),
                            .host = kHost,
                            .first_token = std::chrono::milliseconds(1),
                            .token_interval = options.token_interval})
                           .value());
  }
  ApplyConfig();
  for (int i = 0; i < options.nodes; ++i) {
    StartNode(i);
  }
  for (size_t i = 0; i < nodes_.size(); ++i) {
    WaitFor("a node that reports all nodes as ready", [&] {
      const json status = json::parse(StatusOf(i), nullptr, false);
      return status.is_object() && ReadyMembers(status) == nodes_.size();
    });
  }
}

Cluster::~Cluster() = default;

httplib::Client Cluster::ClientFor(size_t index) const {
  httplib::Client client(kHost, nodes_[index].settings.callers.port);
  client.set_bearer_token_auth(kTeamKey);
  return client;
}

httplib::Client Cluster::ClientForUrl(const std::string& url) const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const std::string address = nodes_[i].settings.callers.ToString();
    if (url.find("//" + address + "/") != std::string::npos) {
      return ClientFor(i);
    }
  }
  FAIL("no node at " << url);
  return ClientFor(0);
}

std::string Cluster::PathOf(const std::string& url) {
  return url.substr(url.find('/', std::string("http://").size()));
}

void Cluster::ApplyConfig() const {
  json config = json::parse(R"({
    "deployment": "test",
    "model_pools": {"chat": {"models": {"m": {"versions": ["1"]}}}},
    "non_idempotent": {
      "book": {"route": "booking", "method": "POST", "path_prefix": "/book"}
    }
  })");
  for (int i = 0; i < 4; ++i) {
    config["failure_domains"]["d" + std::to_string(i)]["region"] = "r";
  }
  for (size_t i = 0; i < engines_.size(); ++i) {
    config["model_pools"]["chat"]["servers"]["e" + std::to_string(i)] =
        ServerJson(engines_[i]->port());
  }
  config["teams"]["kitchen"]["key_sha256"] = json::array({KeySha256(kTeamKey)});
  config["routes"]["booking"]["servers"]["s1"] = ServerJson(service_->port());
  const std::vector<ConfigFile> files = {{"00.json", config.dump()}};
  const auto platform = HttpPlatform::Create(kHost, platform_->port());
  platform->Call({.op = StoreOp::kPut,
                  .key = ObjectKeyOf(files[0].text),
                  .body = files[0].text,
                  .expected_version = {}});
  platform->Call({.op = StoreOp::kPut,
                  .key = kManifestKey,
                  .body = MakeManifest(1, files).Encode(),
                  .expected_version = kAbsentVersion});
}

void Cluster::StartNode(int index) {
  NodeSettings settings;
  settings.instance = InstanceId("n" + std::to_string(index));
  settings.failure_domain = FailureDomainId("d" + std::to_string(index % 4));
  settings.callers = {kHost, FreePort()};
  settings.admin = {kHost, FreePort()};
  settings.peers = {kHost, FreePort()};
  settings.platform = {kHost, platform_->port()};
  settings.admin_token = kAdminToken;
  settings.peer_secret = "secret";
  Register(settings);
  nodes_.push_back({settings, Node::Start(settings).value()});
}

void Cluster::Register(const NodeSettings& settings) const {
  const json row = {{"role", "node"},
                    {"failure_domain", settings.failure_domain.value()},
                    {"host", kHost},
                    {"port", settings.callers.port},
                    {"peer_port", settings.peers.port},
                    {"state", "live"}};
  httplib::Client client(kHost, platform_->port());
  const auto reply = client.Put("/v1/instances/" + settings.instance.value(),
                                row.dump(), "application/json");
  REQUIRE(reply);
  REQUIRE(reply->status == 200);
}

std::string Cluster::StatusOf(size_t index) const {
  httplib::Client client(kHost, nodes_[index].settings.admin.port);
  client.set_bearer_token_auth(kAdminToken);
  const auto reply = client.Get("/v1/status");
  return reply ? reply->body : "";
}

void Cluster::DrainNode(size_t index) {
  node(index).Drain();
  node(index).WaitDrained(Duration::zero(), kDrainTimeout);
}

void Cluster::WaitOpenRequests(size_t index, int count) const {
  WaitFor("open requests", [&] {
    const json status = json::parse(StatusOf(index), nullptr, false);
    return status.is_object() && status["open_requests"] >= count;
  });
}

void Cluster::WaitExecutions(const std::string& key, uint32_t count) const {
  WaitFor("executions of " + key,
          [&] { return service_->Executions(key) >= count; });
}

}  // namespace qh
