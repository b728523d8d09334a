#include "tests/qh_gateway/deployment_fixture.h"

#include <unistd.h>

#include <boost/asio/ip/udp.hpp>
#include <stdexcept>

namespace qh {
namespace {

constexpr Duration kStartLimit = std::chrono::seconds(20);
constexpr const char* kService = "chat";

std::string ServerName(size_t server) {
  return "s" + std::to_string(server);
}

}  // namespace

GatewaySettings DeploymentFixture::SettingsOf(size_t node) {
  // Loopback addresses of this process's own, so that test programs can run
  // side by side.
  const std::string host = "127." + std::to_string(1 + getpid() % 250) + "." +
                           std::to_string(getpid() / 250 % 250) + "." +
                           std::to_string(1 + node);
  GatewaySettings settings;
  settings.node = InstanceId("n" + std::to_string(node));
  settings.failure_domain =
      FailureDomainId("d" + std::to_string(DomainOf(node)));
  settings.caller_address = {host, 17'040};
  settings.readiness_address = {host, 17'041};
  settings.locate_address = {host, 17'042};
  settings.peer_address = {host, 17'043};
  settings.store_address = store.AddClient();
  if (adjust_settings) {
    adjust_settings(settings);
  }
  return settings;
}

void DeploymentFixture::StartNodes(size_t nodes,
                                   size_t domains,
                                   size_t servers) {
  domains_ = domains;
  PutConfig(1);
  for (size_t server = 0; server < servers; ++server) {
    PutServer(server, false);
  }
  for (size_t node = 0; node < nodes; ++node) {
    AddNode();
  }
  const auto started = [&] {
    return AllOf([&](size_t node) {
      return nodes_[node]->is_ready() && StateOf(node).node_count() == nodes &&
             StateOf(node).directory.All().size() == servers;
    });
  };
  if (!TimeUntil(started, kStartLimit)) {
    throw std::runtime_error("the deployment did not start");
  }
  if (!TimeUntil([&] { return RolesAreSettled(); }, kStartLimit)) {
    throw std::runtime_error("the deployment's roles did not settle");
  }
}

void DeploymentFixture::AddNode() {
  const GatewaySettings settings = SettingsOf(nodes_.size());
  nodes_.push_back(
      std::move(GatewayNode::Create(io, codec, settings, [settings] {
                  return settings;
                }).value()));
  nodes_.back()->Start();
}

void DeploymentFixture::TellVerdict(size_t node, const CrashVerdict& verdict) {
  Tell(node, {.crashes = {.made = MonotonicNow(), .verdicts = {verdict}}});
}

void DeploymentFixture::TellRateLimit(size_t node,
                                      const ServerRateLimit& limit) {
  Tell(node, {.rate_limits = {limit}});
}

void DeploymentFixture::Tell(size_t node, PeerHeartbeat heartbeat) {
  heartbeat.node = "stopping";
  heartbeat.incarnation = "1";
  heartbeat.sequence = ++told_;
  heartbeat.draining = true;
  using boost::asio::ip::udp;
  const Address& peer = StateOf(node).settings.peer_address;
  udp::socket socket(io, udp::v4());
  socket.send_to(
      boost::asio::buffer(heartbeat.Encode()),
      udp::endpoint(boost::asio::ip::make_address(peer.host), peer.port));
}

bool DeploymentFixture::RolesAreSettled() const {
  size_t followers = 0;
  for (size_t domain = 0; domain < domains_; ++domain) {
    followers += FollowersOf(domain, "servers").size();
  }
  const bool has_relays = nodes_.size() > PeerExchange::kMaxNodesWithoutRelays;
  // One node a failure domain follows the store, and the leader.
  return has_relays ? followers > 0 && followers <= domains_ + 1
                    : followers == nodes_.size();
}

void DeploymentFixture::PutConfig(uint64_t version) {
  store.Put("config", "main",
            R"({"version":)" + std::to_string(version) +
                R"(,"routes":[],"services":[{"name":"chat"}]})");
}

void DeploymentFixture::PutServer(size_t server, bool draining) {
  store.Put("servers", ServerName(server),
            std::string(R"({"service":"chat","address":"127.0.0.1:9",)") +
                R"("zone":"d0","slots":4,"born":1,"state":")" +
                (draining ? "draining" : "ready") + R"("})");
}

void DeploymentFixture::RemoveServer(size_t server) {
  store.Remove("servers", ServerName(server));
}

bool DeploymentFixture::KnowsGone(size_t node, size_t server) const {
  const ServerRecord* record =
      StateOf(node).directory.Find(ServerId(ServerName(server)));
  return record == nullptr || record->draining;
}

bool DeploymentFixture::KnowsDrained(size_t node, size_t servers) const {
  for (size_t server = 0; server < servers; ++server) {
    if (!KnowsGone(node, server)) {
      return false;
    }
  }
  return true;
}

std::set<size_t> DeploymentFixture::FollowersOf(size_t domain,
                                                const std::string& kind) const {
  std::set<size_t> followers;
  for (size_t node = 0; node < nodes_.size(); ++node) {
    if (DomainOf(node) == domain && store.HasOpenWatch(node, kind)) {
      followers.insert(node);
    }
  }
  return followers;
}

bool DeploymentFixture::AllOf(
    const std::function<bool(size_t node)>& holds) const {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    if (!holds(node)) {
      return false;
    }
  }
  return true;
}

std::optional<Duration> DeploymentFixture::TimeUntil(
    const std::function<bool()>& done,
    Duration limit) {
  const TimePoint start = MonotonicNow();
  while (MonotonicNow() - start < limit) {
    if (done()) {
      return MonotonicNow() - start;
    }
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  return std::nullopt;
}

}  // namespace qh
