// Tests the backlog of the listener's socket.

#include "qh_http/http_listener.h"

#include <netinet/tcp.h>

#include <catch2/catch.hpp>

namespace qh {
namespace {

constexpr int kMaxDescriptor = 1'024;

// Returns this process's listening socket at `port`, or -1.
int ListeningSocket(uint16_t port) {
  for (int fd = 0; fd < kMaxDescriptor; ++fd) {
    int listening = 0;
    socklen_t size = sizeof(listening);
    if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 ||
        listening == 0) {
      continue;
    }
    sockaddr_in address{};
    size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    if (ntohs(address.sin_port) == port) {
      return fd;
    }
  }
  return -1;
}

}  // namespace

// With cpp-httplib's default backlog of 5, hundreds of simultaneous connection
// attempts fail or wait one second for a TCP retransmit.
TEST_CASE("a burst of connections fits into the listener's backlog") {
  HttpListener listener(2);
  const uint16_t port = listener.Listen("127.0.0.1", 0).value();
  tcp_info info{};
  socklen_t size = sizeof(info);
  REQUIRE(getsockopt(ListeningSocket(port), IPPROTO_TCP, TCP_INFO, &info,
                     &size) == 0);
  // For a listening socket this field holds the backlog.
  CHECK(info.tcpi_sacked >= 512);
}

}  // namespace qh
