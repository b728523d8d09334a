#include "qh_net/socket_options.h"

#include <netinet/tcp.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace qh {
namespace {

using boost::asio::ip::tcp;
template <int kName>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

// A connection ends if sent data stays unacknowledged for this long, or at the
// first keep-alive probe that is due after the peer was silent for this long.
constexpr int kUserTimeoutMs = 2'000;
// Between two probes, so that a peer that goes on can acknowledge the last one.
constexpr int kLongUserTimeoutMs = 4'500;
// A connection on which nothing arrives is probed after this time.
constexpr int kKeepAliveIdleSeconds = 2;
// Short, so that little of the tolerance has passed when a silence begins.
constexpr int kLongKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
// Unanswered probes that end the connection; Linux only counts them if there is
// no TCP_USER_TIMEOUT.
constexpr int kKeepAliveProbes = 2;
// Used if the system doesn't say how many files may be open.
constexpr uint64_t kFilesIfUnknown = 1'024;
// Connections that may wait to be accepted.
constexpr int kBacklog = 1'024;

}  // namespace

void TuneSocket(TcpSocket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalSeconds),
                    ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbes), ignored);
  SetSilenceTolerance(socket, SilenceTolerance::kShort);
}

void SetSilenceTolerance(TcpSocket& socket, SilenceTolerance tolerance) {
  const bool is_long = tolerance == SilenceTolerance::kLong;
  const int user_timeout_ms = is_long ? kLongUserTimeoutMs : kUserTimeoutMs;
  const int idle_seconds =
      is_long ? kLongKeepAliveIdleSeconds : kKeepAliveIdleSeconds;
  boost::system::error_code ignored;
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(user_timeout_ms), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(idle_seconds), ignored);
}

void SetResetOnClose(TcpSocket& socket, bool reset) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(reset, 0), ignored);
}

Result<tcp::endpoint> ToEndpoint(const Address& address) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.host, error);
  if (error) {
    return Error(ErrorKind::kConfigInvalid,
                 "not an IP address: " + address.ToString());
  }
  return tcp::endpoint(ip, address.port);
}

Result<TcpAcceptor> Listen(boost::asio::io_context& io,
                           const Address& address) {
  BOOST_OUTCOME_TRY(endpoint, ToEndpoint(address));
  TcpAcceptor acceptor(io);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    return Error(ErrorKind::kInternal, "can't listen on " + address.ToString() +
                                           ": " + error.message());
  }
  return acceptor;
}

uint64_t MaxOpenFiles(uint64_t configured) {
  rlimit files{};
  const uint64_t allowed = getrlimit(RLIMIT_NOFILE, &files) == 0
                               ? uint64_t{files.rlim_cur}
                               : kFilesIfUnknown;
  return configured == 0 ? allowed : std::min(configured, allowed);
}

Result<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon != std::string_view::npos) {
    Address address{.host = std::string(text.substr(0, colon))};
    const char* end = text.data() + text.size();
    const auto [stop, error] =
        std::from_chars(text.data() + colon + 1, end, address.port);
    if (error == std::errc() && stop == end && !address.host.empty()) {
      return address;
    }
  }
  return Error(ErrorKind::kConfigInvalid,
               "expected HOST:PORT, got \"" + std::string(text) + "\"");
}

}  // namespace qh
