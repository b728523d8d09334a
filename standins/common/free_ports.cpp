#include "standins/common/free_ports.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace qh::standins {

FreePorts::~FreePorts() {
  for (const int socket : sockets_) {
    close(socket);
  }
}

Result<uint16_t> FreePorts::Take(const std::string& host) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  socklen_t size = sizeof(address);
  auto* name = reinterpret_cast<sockaddr*>(&address);
  if (fd < 0 || bind(fd, name, size) != 0 ||
      getsockname(fd, name, &size) != 0) {
    if (fd >= 0) {
      close(fd);
    }
    return Error(ErrorKind::kInternal, "no free port at " + host);
  }
  sockets_.push_back(fd);
  return ntohs(address.sin_port);
}

}  // namespace qh::standins
