// The platform's list of instances, which lags behind by seconds, and the
// reclaim notices in it.

#ifndef QH_PLATFORM_CLOUD_INSTANCE_LIST_H_
#define QH_PLATFORM_CLOUD_INSTANCE_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"

namespace qh {

enum class InstanceState { kLive, kLeaving };

template <>
inline constexpr EnumName<InstanceState> kEnumNames<InstanceState>[] = {
    {InstanceState::kLive, "live"},
    {InstanceState::kLeaving, "leaving"},
};

// One row of the platform's list. It may be seconds out of date.
struct ListedInstance {
  // Id of a node or of a backend server.
  std::string id;
  // "node", "engine" or "service".
  std::string role;
  FailureDomainId failure_domain;
  // Where callers or nodes connect.
  std::string host;
  uint16_t port = 0;
  // Where peers connect; zero for backend servers.
  uint16_t peer_port = 0;
  // Where operators connect; zero for backend servers.
  uint16_t admin_port = 0;
  InstanceState state = InstanceState::kLive;
  // Seconds until the instance is reclaimed; only meaningful if `state` is
  // kLeaving.
  double notice_s = 0;
};

using InstanceListHook = std::function<Result<std::vector<ListedInstance>>()>;

}  // namespace qh

#endif  // QH_PLATFORM_CLOUD_INSTANCE_LIST_H_
