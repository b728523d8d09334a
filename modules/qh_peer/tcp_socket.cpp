#include "qh_peer/tcp_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace qh {
namespace {

// Connections that may wait to be accepted.
constexpr int kBacklog = 128;

Result<sockaddr_in> ParseAddress(const std::string& host, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return Error(ErrorKind::kConfigInvalid, host + " is no IPv4 address");
  }
  return address;
}

// Returns an error with the text of errno.
Error SocketError(ErrorKind kind, const std::string& host, uint16_t port) {
  return {kind,
          host + ":" + std::to_string(port) + ": " + std::strerror(errno)};
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Waits for a connect in progress. Sets errno and returns false when it fails.
bool WaitConnected(int socket, Duration timeout) {
  pollfd fd{socket, POLLOUT, 0};
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  if (poll(&fd, 1, static_cast<int>(milliseconds.count())) <= 0) {
    errno = ETIMEDOUT;
    return false;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  errno = error;
  return error == 0;
}

}  // namespace

Result<int> ConnectTcp(const std::string& host,
                       uint16_t port,
                       Duration timeout) {
  BOOST_OUTCOME_TRY(address, ParseAddress(host, port));
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return SocketError(ErrorKind::kPeerUnreachable, host, port);
  }
  const int result = connect(
      socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const bool in_progress = result < 0 && errno == EINPROGRESS;
  if (result < 0 && !(in_progress && WaitConnected(socket, timeout))) {
    const Error error = SocketError(ErrorKind::kPeerUnreachable, host, port);
    close(socket);
    return error;
  }
  SetNoDelay(socket);
  return socket;
}

Result<TcpListener> ListenTcp(const std::string& host, uint16_t port) {
  BOOST_OUTCOME_TRY(address, ParseAddress(host, port));
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool bound = bind(socket, reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) == 0 &&
                     listen(socket, kBacklog) == 0;
  if (!bound) {
    const Error error = SocketError(ErrorKind::kInternal, host, port);
    close(socket);
    return error;
  }
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return TcpListener{socket, ntohs(address.sin_port)};
}

int AcceptTcp(int listener) {
  const int socket =
      accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (socket >= 0) {
    SetNoDelay(socket);
  }
  return socket;
}

}  // namespace qh
