// Strongly typed identifiers, so that, for example, a team's id can't be passed
// where a server's id is expected.

#ifndef QH_CORE_IDS_IDS_H_
#define QH_CORE_IDS_IDS_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace qh {

template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;

 private:
  std::string value_;
};

// An instance that runs quetzalhalld.
using InstanceId = Id<struct InstanceTag>;
// An instance that runs a model engine or a plain service.
using ServerId = Id<struct ServerTag>;
// A part of the cloud whose instances can all be reclaimed at once.
using FailureDomainId = Id<struct FailureDomainTag>;
// A team: a group of callers with its own keys and limits.
using TeamId = Id<struct TeamTag>;
// A group of backend servers that serve the same models.
using PoolId = Id<struct PoolTag>;
// A plain service behind /services/<route>/.
using RouteId = Id<struct RouteTag>;
// One accepted request.
using RequestId = Id<struct RequestTag>;

}  // namespace qh

template <typename Tag>
struct std::hash<qh::Id<Tag>> {
  size_t operator()(const qh::Id<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // QH_CORE_IDS_IDS_H_
