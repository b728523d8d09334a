// The cloud API as data: starting and stopping instances, and their prices.

#ifndef QH_PLATFORM_CLOUD_CLOUD_API_H_
#define QH_PLATFORM_CLOUD_CLOUD_API_H_

#include <functional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"

namespace qh {

struct InstanceOrder {
  // The same for all attempts at one start; the cloud starts at most one
  // instance per key.
  std::string idempotency_key;
  std::string instance_class;
  FailureDomainId failure_domain;
  // "engine" or "service".
  std::string role;
  bool reclaimable = false;
};

enum class StartOutcome {
  kStarted,
  // The cloud has no capacity for such an instance now.
  kRefused,
  // The order had no effect.
  kNotDone,
  // No answer came; send the order again with the same key.
  kUnknown,
};

template <>
inline constexpr EnumName<StartOutcome> kEnumNames<StartOutcome>[] = {
    {StartOutcome::kStarted, "started"},
    {StartOutcome::kRefused, "refused"},
    {StartOutcome::kNotDone, "not_done"},
    {StartOutcome::kUnknown, "unknown"},
};

struct StartReply {
  StartOutcome outcome = StartOutcome::kUnknown;
  // Id of the started instance.
  std::string instance;
};

struct InstancePrice {
  std::string instance_class;
  FailureDomainId failure_domain;
  bool reclaimable = false;
  // Price of one hour.
  double per_hour = 0;
};

using StartInstanceHook = std::function<StartReply(const InstanceOrder&)>;
using PriceListHook = std::function<Result<std::vector<InstancePrice>>()>;

}  // namespace qh

#endif  // QH_PLATFORM_CLOUD_CLOUD_API_H_
