// The largest requests within the limits on callers, without pressure.

#include <catch2/catch.hpp>

#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/untrusted_clients/gateway_process.h"

namespace qh {

// Guards against limits on what a connection holds that refuse a single request
// within the limits on callers.
TEST_CASE("the largest legal requests are served") {
  constexpr size_t kBody = GatewayProcess::kMaxBodyBytes;
  GatewayProcess gateway;
  const Address address = gateway.AddressOf(GatewayListener::kCallers);
  const size_t before = gateway.served_requests();
  const std::string head = "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: c";
  std::string request;
  SECTION("a body in one piece") {
    request = head + "\r\nContent-Length: " + std::to_string(kBody) +
              "\r\n\r\n" + std::string(kBody, 'x');
  }
  SECTION("a body in chunks of one byte") {
    request = head + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    request.reserve(7 * kBody);
    for (size_t i = 0; i < kBody; ++i) {
      request += "1\r\nx\r\n";
    }
    request += "0\r\nA: b\r\n\r\n";
  }
  SECTION("a head with one long field") {
    const size_t rest = head.size() + 100;
    request = head + "\r\nA: " +
              std::string(GatewayProcess::kMaxHeaderBytes - rest, 'x') +
              "\r\n\r\n";
  }
  SECTION("a head with very many fields") {
    request = head;
    while (request.size() + 100 < GatewayProcess::kMaxHeaderBytes) {
      request += "\r\na:";
    }
    request += "\r\n\r\n";
  }
  CHECK(StatusOf(SendAndReceive(address, request)) == 200);
  CHECK(gateway.served_requests() == before + 1);
}

}  // namespace qh
