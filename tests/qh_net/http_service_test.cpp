// The small HTTP server for control calls.

#include <catch2/catch.hpp>

#include "qh_net/http_client.h"
#include "qh_net/http_service.h"
#include "qh_net/idle_connection.h"
#include "qh_net/socket_options.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns an address whose port was free a moment ago.
Address FreeAddress(boost::asio::io_context& io) {
  TcpAcceptor acceptor = std::move(Listen(io, {"127.0.0.1", 0}).value());
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

}  // namespace

// Guards against closing an idle connection of which callers were told nothing:
// a caller's question for the nodes to use then meets the close.
TEST_CASE("the control service announces how long connections stay open") {
  boost::asio::io_context io;
  const Address address = FreeAddress(io);
  const auto service = HttpService::Start(io, address, [](const HttpHead&) {
                         return ServiceAnswer{.status = 200, .body = "{}"};
                       }).value();
  const auto client = HttpClient::Create(io, address);
  CallReply answered;
  client->Send({.method = "GET", .target = "/x"}, seconds(1),
               [&](const CallReply& reply) {
                 answered = reply;
                 client->Stop();
                 service->Stop();
               });
  io.run_for(seconds(2));
  REQUIRE(answered.outcome == HttpCallOutcome::kAnswered);
  HttpHead head;
  head.fields = answered.fields;
  REQUIRE(head.Find("Keep-Alive") != nullptr);
  CHECK(*head.Find("Keep-Alive") == "timeout=24");
}

TEST_CASE("an idle connection is closed well after the announced time") {
  const Duration limit = GENERATE(milliseconds(100), milliseconds(1'100),
                                  milliseconds(3'000), milliseconds(15'000));
  const seconds announced = AnnouncedIdleTimeout(limit);
  CHECK(announced >= seconds(1));
  CHECK(IdleCloseDelay(announced, limit) >= announced + seconds(1));
  CHECK(IdleCloseDelay(announced, limit) >= limit);
}

}  // namespace qh
