// The address that a process listens on: a host and a port.

#ifndef QH_CORE_ADDRESS_ADDRESS_H_
#define QH_CORE_ADDRESS_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace qh {

struct Address {
  std::string host;
  uint16_t port = 0;

  // Returns "host:port".
  std::string ToString() const { return host + ":" + std::to_string(port); }
  friend auto operator<=>(const Address&, const Address&) = default;
};

}  // namespace qh

#endif  // QH_CORE_ADDRESS_ADDRESS_H_
