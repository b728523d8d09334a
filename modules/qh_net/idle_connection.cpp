#include "qh_net/idle_connection.h"

#include <algorithm>

#include "qh_net/http_head.h"

namespace qh {
namespace {

// Time between the announced end of reuse and the close, for requests that are
// on their way and for clients that count whole seconds.
constexpr Duration kCloseMargin = std::chrono::seconds(1);

}  // namespace

std::chrono::seconds AnnouncedIdleTimeout(Duration limit) {
  return std::max(std::chrono::seconds(1),
                  std::chrono::floor<std::chrono::seconds>(limit * 4 / 5));
}

Duration IdleCloseDelay(std::chrono::seconds announced, Duration limit) {
  return std::max<Duration>(limit, announced + kCloseMargin);
}

void AppendKeepAlive(std::string& text, std::chrono::seconds timeout) {
  AppendField(text, "Keep-Alive", "timeout=" + std::to_string(timeout.count()));
}

}  // namespace qh
