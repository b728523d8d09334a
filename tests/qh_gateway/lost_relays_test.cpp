// Relays that their failure domain hears, but that are of no use to it: its
// nodes learn what the store said from elsewhere.

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "tests/qh_gateway/deployment_fixture.h"

namespace qh {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodes = 18;
constexpr size_t kDomains = 3;
constexpr size_t kServers = 4;
constexpr size_t kGone = 1;
constexpr Duration kHeartbeatInterval = milliseconds(150);
constexpr Duration kLimit = seconds(10);
// Ranks a node before all others.
constexpr double kCapacity = 1e6;
const GatewaySettings kSettings;

// A relay of failure domain 0 that sends heartbeats, and accepts calls without
// ever answering them.
class MuteRelay {
 public:
  MuteRelay(DeploymentFixture& fixture, std::string name)
      : fixture_(fixture),
        name_(std::move(name)),
        acceptor_(fixture.io, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(fixture.io, udp::v4()),
        timer_(fixture.io) {
    const Address address{"127.0.0.1", acceptor_.local_endpoint().port()};
    fixture_.store.Put("gateway-nodes", name_,
                       nlohmann::json{{"peers", address.ToString()},
                                      {"domain", "d0"},
                                      {"link_mbps", kCapacity}}
                           .dump());
    Accept();
    SendHeartbeats();
  }

  // From now on it tells of this version of the servers.
  void TellServers(const StoreVersion& version) { servers_ = version; }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, TcpSocket socket) {
          if (!error) {
            connections_.push_back(std::move(socket));
            Accept();
          }
        });
  }
  void SendHeartbeats() {
    PeerHeartbeat heartbeat{.node = name_,
                            .incarnation = name_,
                            .failure_domain = FailureDomainId("d0"),
                            .relay = true,
                            .follows_store = true,
                            .ready = true,
                            .caller_address = {"127.0.0.1", 9},
                            .config_version = 1,
                            .servers_version = servers_,
                            .servers_digest = 1,
                            .servers_changed = servers_};
    heartbeat.sequence = ++sequence_;
    for (size_t node = 0; node < kNodes; ++node) {
      const Address& peer = fixture_.StateOf(node).settings.peer_address;
      socket_.send_to(
          boost::asio::buffer(heartbeat.Encode()),
          udp::endpoint(boost::asio::ip::make_address(peer.host), peer.port));
    }
    timer_.expires_after(kHeartbeatInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        SendHeartbeats();
      }
    });
  }

  DeploymentFixture& fixture_;
  std::string name_;
  TcpAcceptor acceptor_;
  std::vector<TcpSocket> connections_;
  udp::socket socket_;
  boost::asio::steady_timer timer_;
  StoreVersion servers_;
  uint64_t sequence_ = 0;
};

struct LostRelaysFixture : DeploymentFixture {
  // Starts a deployment in which `count` mute relays come before the nodes of
  // failure domain 0, none of which follows the store then.
  void StartWithMuteRelays(size_t count) {
    StartNodes(kNodes, kDomains, kServers);
    for (size_t i = 0; i < count; ++i) {
      relays.push_back(
          std::make_unique<MuteRelay>(*this, "relay" + std::to_string(i)));
    }
    REQUIRE(
        TimeUntil([&] { return FollowersOf(0, "servers").empty(); }, kLimit));
  }
  // A server goes; `told` is the version that the relays then tell of. Returns
  // whether all nodes know it within the time that a server drains.
  bool AllLearnOfEnd(const StoreVersion& told) {
    RemoveServer(kGone);
    for (const auto& relay : relays) {
      relay->TellServers(told);
    }
    return TimeUntil(
               [&] {
                 return AllOf(
                     [&](size_t node) { return KnowsGone(node, kGone); });
               },
               kSettings.server_drain)
        .has_value();
  }

  std::vector<std::unique_ptr<MuteRelay>> relays;
};

constexpr StoreVersion kLaterVersion{.epoch = 0, .revision = 1'000};

}  // namespace

// Guards against requests to a server that is gone (DRAIN): a failure domain
// asked its relays alone, however often they did not answer.
TEST_CASE_METHOD(LostRelaysFixture,
                 "a failure domain whose relays tell of news but don't answer "
                 "learns it elsewhere") {
  StartWithMuteRelays(GENERATE(1, 2));
  CHECK(AllLearnOfEnd(kLaterVersion));
}

// The same with relays that follow the store and hear nothing from it: nobody
// in the domain knows that there is news.
TEST_CASE_METHOD(LostRelaysFixture,
                 "a failure domain whose relays have no news learns it "
                 "elsewhere") {
  StartWithMuteRelays(2);
  CHECK(AllLearnOfEnd({}));
}

}  // namespace qh
