// Orders to backend servers, and the server state that they set.

#ifndef QH_FLEET_SERVER_ORDER_H_
#define QH_FLEET_SERVER_ORDER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// What a server runs, or is to run.
struct ServerState {
  std::string model;
  // Empty without an adapter.
  std::string adapter;
  std::string version;
  // Use of the server, such as "serve", "prefill" or "idle".
  std::string role;

  friend bool operator==(const ServerState&, const ServerState&) = default;
};

// Tells a server to run `target`. The order is idempotent.
struct ServerOrder {
  // Equal for all tries of one order.
  std::string id;
  ServerId server;
  // Fencing number of the lease under which the order is sent.
  uint64_t fencing = 0;
  ServerState target;
  // The driver drops the order, with the outcome kNoAnswer, if this time has
  // come when it is about to send the first byte.
  TimePoint send_before;
};

enum class OrderOutcome {
  // The server accepted the order, now or in an earlier try.
  kAccepted,
  // The server has accepted an order with a newer fencing number.
  kRefused,
  // The server could not run the order.
  kFailed,
  // The server did not answer. The order may still take effect.
  kNoAnswer,
};

template <>
inline constexpr EnumName<OrderOutcome> kEnumNames<OrderOutcome>[] = {
    {OrderOutcome::kAccepted, "accepted"},
    {OrderOutcome::kRefused, "refused"},
    {OrderOutcome::kFailed, "failed"},
    {OrderOutcome::kNoAnswer, "no_answer"},
};

// The answer to an order.
struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  // With kRefused: the newest fencing number that the server has seen.
  uint64_t fencing = 0;
};

// The answer to a read of a server's state.
struct ServerStateReply {
  bool answered = false;
  ServerState state;
};

// Sends an order to its server and waits for the answer.
using OrderHook = std::function<OrderReply(const ServerOrder&)>;
// Reads what a server runs, and waits for the answer.
using ServerStateHook = std::function<ServerStateReply(const ServerId&)>;

}  // namespace qh

#endif  // QH_FLEET_SERVER_ORDER_H_
