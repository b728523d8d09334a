#include "tests/untrusted_clients/client_crowd.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>

#include "tests/untrusted_clients/gateway_process.h"

namespace qh {
namespace {

// The clients are done when none could send or read for this many pauses.
constexpr int kPausesUntilDone = 25;
constexpr auto kPause = std::chrono::milliseconds(20);
// Ends clients that the gateway keeps reading from without end.
constexpr auto kSendLimit = std::chrono::seconds(20);

}  // namespace

ClientCrowd::ClientCrowd(const Address& address,
                         const ClientBehaviour& behaviour)
    : behaviour_(behaviour) {
  for (size_t i = 0; i < behaviour.clients; ++i) {
    clients_.push_back({.socket = ConnectTo(address)});
    clients_.back().ended = clients_.back().socket < 0;
  }
}

ClientCrowd::~ClientCrowd() {
  for (const Client& client : clients_) {
    if (client.socket >= 0) {
      close(client.socket);
    }
  }
}

bool ClientCrowd::TakeTurn(Client& client) const {
  bool progress = false;
  const size_t left = behaviour_.bytes.size() - client.sent;
  if (left > 0) {
    const ssize_t size = send(
        client.socket, behaviour_.bytes.data() + client.sent,
        std::min(left, behaviour_.piece_bytes), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0) {
      client.sent += static_cast<size_t>(size);
      progress = true;
    } else if (errno != EAGAIN) {
      client.ended = true;
      return true;
    }
  }
  if (behaviour_.read_bytes > 0) {
    std::string bytes(behaviour_.read_bytes, '\0');
    const ssize_t size =
        recv(client.socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    progress = progress || size > 0;
    client.ended = size == 0 || (size < 0 && errno != EAGAIN);
  }
  return progress;
}

void ClientCrowd::SendAll() {
  const auto end = std::chrono::steady_clock::now() + kSendLimit;
  int pauses = 0;
  while (pauses < kPausesUntilDone && std::chrono::steady_clock::now() < end) {
    bool progress = false;
    for (Client& client : clients_) {
      progress = (!client.ended && TakeTurn(client)) || progress;
    }
    if (progress) {
      pauses = 0;
      continue;
    }
    ++pauses;
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace qh
