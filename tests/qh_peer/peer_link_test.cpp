// Calls between a PeerClient and a PeerServer over the loopback interface.

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "qh_peer/peer_client.h"
#include "qh_peer/peer_server.h"
#include "qh_peer/tcp_socket.h"

#include <unistd.h>

namespace qh {
namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kSecret = "secret";
constexpr Duration kTimeout = std::chrono::seconds(20);

// Starts a server that replies with the kind and the body of each call.
std::unique_ptr<PeerServer> StartEchoServer() {
  return PeerServer::Start({kHost, 0}, kSecret,
                           [](const PeerCall& message) -> Result<std::string> {
                             return std::string(ToName(message.kind)) + ":" +
                                    message.body;
                           })
      .value();
}

}  // namespace

TEST_CASE("concurrent calls each get their own reply") {
  const auto server = StartEchoServer();
  PeerClient client(kSecret);
  std::vector<std::thread> threads;
  std::atomic<int> right = 0;
  for (int i = 0; i < 16; ++i) {
    threads.emplace_back([&, i] {
      for (int j = 0; j < 50; ++j) {
        const std::string body = std::to_string(i * 1000 + j);
        const auto reply =
            client.Call({kHost, server->port()},
                        {PeerCallKind::kMembership, body}, kTimeout);
        right += reply && reply.value() == "membership:" + body;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(right == 16 * 50);
}

TEST_CASE("a body of one megabyte is sent and returned") {
  const auto server = StartEchoServer();
  PeerClient client(kSecret);
  const std::string body(1 << 20, 'x');
  const auto reply = client.Call({kHost, server->port()},
                                 {PeerCallKind::kHandover, body}, kTimeout);
  REQUIRE(reply);
  CHECK(reply.value() == "handover:" + body);
}

TEST_CASE("a wrong secret is refused") {
  const auto server = StartEchoServer();
  PeerClient client("other");
  const auto reply = client.Call({kHost, server->port()},
                                 {PeerCallKind::kMembership, "x"}, kTimeout);
  REQUIRE(!reply);
  CHECK(reply.error().kind() == ErrorKind::kPeerMalformed);
}

TEST_CASE("a stopped peer is unreachable until it is restarted") {
  auto server = StartEchoServer();
  const Address address{kHost, server->port()};
  PeerClient client(kSecret);
  REQUIRE(client.Call(address, {PeerCallKind::kMembership, "1"}, kTimeout));
  server.reset();
  const auto gone =
      client.Call(address, {PeerCallKind::kMembership, "2"}, kTimeout);
  REQUIRE(!gone);
  CHECK(gone.error().kind() == ErrorKind::kPeerUnreachable);
  server = PeerServer::Start(address, kSecret, [](const PeerCall&) {
             return Result<std::string>(std::string("back"));
           }).value();
  const auto back =
      client.Call(address, {PeerCallKind::kMembership, "3"}, kTimeout);
  REQUIRE(back);
  CHECK(back.value() == "back");
}

TEST_CASE("bytes that are not HTTP/2 do not disturb other connections") {
  const auto server = StartEchoServer();
  const int socket = ConnectTcp(kHost, server->port(), kTimeout).value();
  const std::string junk(1'000, 'j');
  CHECK(write(socket, junk.data(), junk.size()) ==
        static_cast<ssize_t>(junk.size()));
  close(socket);
  PeerClient client(kSecret);
  CHECK(client.Call({kHost, server->port()}, {PeerCallKind::kMembership, "x"},
                    kTimeout));
}

}  // namespace qh
