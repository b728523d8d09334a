// Options that every TCP socket of the process gets: no delay of small writes,
// and an end to connections whose peer has gone silent.

#ifndef QH_NET_SOCKET_OPTIONS_H_
#define QH_NET_SOCKET_OPTIONS_H_

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "qh_core/address/address.h"
#include "qh_core/errors/result.h"

namespace qh {

using TcpSocket = boost::asio::ip::tcp::socket;
using TcpAcceptor = boost::asio::ip::tcp::acceptor;

// Sets TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT on `socket`. An
// option that the system refuses is left out.
void TuneSocket(TcpSocket& socket);

// Returns `address` as an endpoint. Fails with kConfigInvalid when its host is
// no IP address.
Result<boost::asio::ip::tcp::endpoint> ToEndpoint(const Address& address);

// Opens a listener on `address`. Fails with kConfigInvalid or kInternal.
Result<TcpAcceptor> Listen(boost::asio::io_context& io, const Address& address);

// Returns "host:port" split at its last colon, or an error.
Result<Address> ParseAddress(std::string_view text);

}  // namespace qh

#endif  // QH_NET_SOCKET_OPTIONS_H_
