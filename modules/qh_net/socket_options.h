// Helpers for TCP sockets and addresses, and the options set on every TCP
// socket of the process: small writes are not delayed, and a connection to an
// unresponsive peer ends within seconds.

#ifndef QH_NET_SOCKET_OPTIONS_H_
#define QH_NET_SOCKET_OPTIONS_H_

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "qh_core/address/address.h"
#include "qh_core/errors/result.h"

namespace qh {

using TcpSocket = boost::asio::ip::tcp::socket;
using TcpAcceptor = boost::asio::ip::tcp::acceptor;

// How long a connection bears a peer that acknowledges nothing, neither data
// nor keep-alive probes.
enum class SilenceTolerance {
  // Up to 3 s, to detect unresponsive peers soon.
  kShort,
  // Up to 5 s, for peers that may fall silent for 3 s and go on.
  kLong,
};

// Sets TCP_NODELAY, keep-alive probes and SilenceTolerance::kShort on `socket`.
// Errors are ignored.
void TuneSocket(TcpSocket& socket);

// Changes the tolerance of a socket that TuneSocket was called for. Errors are
// ignored.
void SetSilenceTolerance(TcpSocket& socket, SilenceTolerance tolerance);

// Sets whether closing the connection resets it, also when the process ends.
// Unsent bytes are then lost. Errors are ignored.
void SetResetOnClose(TcpSocket& socket, bool reset);

// Returns `address` as an endpoint. Fails with kConfigInvalid if its host is
// not an IP address.
Result<boost::asio::ip::tcp::endpoint> ToEndpoint(const Address& address);

// Opens a listening socket on `address`. Fails with kConfigInvalid if the host
// is not an IP address, and with kInternal if the system refuses.
Result<TcpAcceptor> Listen(boost::asio::io_context& io, const Address& address);

// Returns how many files and sockets the process may have open: what the system
// allows it, or `configured` if that is fewer and not zero.
uint64_t MaxOpenFiles(uint64_t configured);

// Parses "host:port", split at the last colon. Fails with kConfigInvalid.
Result<Address> ParseAddress(std::string_view text);

}  // namespace qh

#endif  // QH_NET_SOCKET_OPTIONS_H_
