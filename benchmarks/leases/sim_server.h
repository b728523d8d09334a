// A backend server that takes orders, and the check that no older owner's order
// takes effect after a newer owner's.

#ifndef LEASES_SIM_SERVER_H_
#define LEASES_SIM_SERVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "qh_fleet/server_order.h"

namespace qh::leases {

// Who sent an order, as the search knows it.
struct OrderOrigin {
  std::string incarnation;
  // Place of the owner's tenure in the order in which the store took them.
  uint64_t tenure = 0;
};

class SimServer {
 public:
  explicit SimServer(bool checks_fencing) : checks_fencing_(checks_fencing) {}

  bool checks_fencing() const { return checks_fencing_; }
  bool alive() const { return alive_; }
  const ServerState& state() const { return state_; }
  // Orders of an older owner that took effect after a newer owner's.
  uint64_t two_owner_orders() const { return two_owner_orders_; }

  // Takes an order. With `ignores_fencing`, also one with an old number.
  OrderReply Take(const ServerOrder& order,
                  const OrderOrigin& origin,
                  bool ignores_fencing);
  // The process dies; what it ran and knew is lost.
  void Die();
  void Start() { alive_ = true; }

 private:
  bool checks_fencing_;
  bool alive_ = true;
  ServerState state_;
  uint64_t newest_fencing_ = 0;
  std::set<std::string> done_;
  // Newest tenure of each process whose order took effect.
  std::map<std::string, uint64_t> tenures_;
  uint64_t two_owner_orders_ = 0;
};

}  // namespace qh::leases

#endif  // LEASES_SIM_SERVER_H_
