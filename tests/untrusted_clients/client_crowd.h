// Clients that misbehave together: each sends the same bytes on a connection of
// its own and keeps it open.

#ifndef TESTS_UNTRUSTED_CLIENTS_CLIENT_CROWD_H_
#define TESTS_UNTRUSTED_CLIENTS_CLIENT_CROWD_H_

#include <string>
#include <vector>

#include "qh_core/address/address.h"

namespace qh {

// What each client of a crowd does.
struct ClientBehaviour {
  std::string name;
  size_t clients = 0;
  // Sent by each client.
  std::string bytes;
  // Largest number of bytes that a client sends at once, before it is the next
  // client's turn.
  size_t piece_bytes = size_t{64} << 10U;
  // Bytes that a client reads at each turn.
  size_t read_bytes = 0;
};

class ClientCrowd {
 public:
  // Connects the clients of `behaviour` to `address`.
  ClientCrowd(const Address& address, const ClientBehaviour& behaviour);
  // Closes the connections.
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Sends until each client has sent everything or can send nothing more.
  void SendAll();

 private:
  struct Client {
    int socket = -1;
    size_t sent = 0;
    bool ended = false;
  };

  // Lets `client` send and read once. Returns whether it could do either.
  bool TakeTurn(Client& client) const;

  const ClientBehaviour& behaviour_;
  std::vector<Client> clients_;
};

}  // namespace qh

#endif  // TESTS_UNTRUSTED_CLIENTS_CLIENT_CROWD_H_
