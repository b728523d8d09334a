// The connections that clients have opened to one listener, and which of them
// to close when there are too many or when they hold too much memory.
//
// Load pattern: very many clients that open connections, send a part of a
// request or don't read their answers, and stay open. When there are too many
// connections, the one with the least progress is closed; when memory is short,
// the one that has held the most for the longest. A connection whose request
// runs at a server is never closed.

#ifndef QH_NET_CONNECTION_LIMITER_H_
#define QH_NET_CONNECTION_LIMITER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_net/byte_budget.h"

namespace qh {

// What a client's connection is doing.
enum class ConnectionPhase {
  // No byte of a request has arrived, or the last answer was read.
  kIdle,
  // A part of a request has arrived.
  kReceiving,
  // A request is handled. Not closed: the request may run at a server.
  kRunning,
  // The answer is complete, and the client has not read it yet.
  kSending,
  // The server has closed its side and waits for the client.
  kClosing,
};

// What was exhausted.
enum class ConnectionLimit { kConnections, kMemory };

template <>
inline constexpr EnumName<ConnectionLimit> kEnumNames<ConnectionLimit>[] = {
    {ConnectionLimit::kConnections, "connections"},
    {ConnectionLimit::kMemory, "memory"},
};

// A connection that was closed, or refused, because of a limit.
struct LimitedConnection {
  ConnectionLimit limit = ConnectionLimit::kConnections;
  // Whether it was a new connection or request that was refused, rather than
  // one that was there before.
  bool refused = false;
  // Bytes that it held or asked for, and how long it had made no progress.
  uint64_t held = 0;
  Duration stalled{0};
};

class ConnectionSlot;

// Not thread-safe. Used through shared pointers: slots may outlive the owner.
class ConnectionLimiter {
 public:
  static constexpr size_t kNoLimit = SIZE_MAX;

  // `max_connections` is the most that may be open at the same time.
  ConnectionLimiter(std::string listener, size_t max_connections)
      : listener_(std::move(listener)), max_connections_(max_connections) {}

  // Called for each connection that is closed or refused.
  std::function<void(const LimitedConnection&)> on_limited;

  // Name of the listener, for logs and metrics.
  const std::string& listener() const { return listener_; }
  size_t max_connections() const { return max_connections_; }
  size_t open_connections() const { return slots_.size(); }

  // Whether one more connection may be opened; closes another one for it if
  // that is needed.
  bool MakeRoom(TimePoint now);
  // Lets `held`, which belongs to `owner`, hold `bytes` in all. If memory is
  // short, closes connections whose bytes times time without progress are more
  // than the owner's. `owner` is null for a request that runs: then any
  // connection that may be closed can be. Returns false, with the count
  // unchanged, if that isn't enough.
  bool TryHold(HeldBytes& held,
               uint64_t bytes,
               const ConnectionSlot* owner,
               TimePoint now);

 private:
  friend class ConnectionSlot;

  // Closes `slot` because of `limit`.
  void Close(ConnectionSlot& slot, ConnectionLimit limit, TimePoint now);
  // Returns the connection that has made the least progress; null if all have
  // requests that run.
  ConnectionSlot* LeastProgress() const;
  // Returns the connection other than `owner` that has held most for longest,
  // if that is more than `owner` with `bytes`; otherwise null.
  ConnectionSlot* LargestHolder(const ConnectionSlot* owner,
                                uint64_t bytes,
                                TimePoint now) const;

  std::string listener_;
  size_t max_connections_;
  // In no order; each knows its place.
  std::vector<ConnectionSlot*> slots_;
};

// The limiter's entry for one connection, owned by the connection.
class ConnectionSlot {
 public:
  // Registers a new connection. `close` ends the connection at once and frees
  // what it holds; it may be called at any time outside of kRunning.
  ConnectionSlot(std::shared_ptr<ConnectionLimiter> limiter,
                 TimePoint now,
                 std::function<void()> close);
  ~ConnectionSlot();
  ConnectionSlot(const ConnectionSlot&) = delete;
  ConnectionSlot& operator=(const ConnectionSlot&) = delete;

  // The connection enters `phase`. The wait for progress begins anew.
  void SetPhase(ConnectionPhase phase, TimePoint now);
  // Bytes that closing the connection would free.
  void SetHeld(uint64_t bytes) { held_ = bytes; }
  // The connection is closed and no longer counts.
  void Release();

  ConnectionPhase phase() const { return phase_; }
  ConnectionLimiter& limiter() const { return *limiter_; }

 private:
  friend class ConnectionLimiter;

  bool may_close() const { return phase_ != ConnectionPhase::kRunning; }
  // Orders connections by progress: lower ones are closed first.
  std::pair<int, TimePoint> Progress() const;
  // Bytes held multiplied with the time without progress.
  double Occupation(uint64_t bytes, TimePoint now) const;

  std::shared_ptr<ConnectionLimiter> limiter_;
  std::function<void()> close_;
  // Index in ConnectionLimiter::slots_; nothing once released.
  std::optional<size_t> index_;
  ConnectionPhase phase_ = ConnectionPhase::kIdle;
  // When the phase began.
  TimePoint since_;
  uint64_t held_ = 0;
  // Whether a request was answered on the connection.
  bool served_ = false;
};

}  // namespace qh

#endif  // QH_NET_CONNECTION_LIMITER_H_
