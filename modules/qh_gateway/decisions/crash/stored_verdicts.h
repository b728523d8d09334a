// Compares the verdicts that a node holds with those in the platform's store,
// and decides what to write there. Verdicts are stored so that they outlive all
// nodes, and so that they reach nodes which no peer reaches.
//
// Each node that follows the store adds verdicts that are missing there; the
// leader is given time to do so first. The leader alone refreshes and removes
// them.

#ifndef QH_GATEWAY_DECISIONS_CRASH_STORED_VERDICTS_H_
#define QH_GATEWAY_DECISIONS_CRASH_STORED_VERDICTS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/crash/crash_verdicts.h"

namespace qh {

// A write that brings the store closer to what the node holds.
struct VerdictWrite {
  enum class Kind { kCreate, kReplace, kRemove };

  Kind kind = Kind::kCreate;
  // Name of the stored object.
  std::string name;
  // What to store; has no features with kRemove.
  CrashVerdict verdict;
};

template <>
inline constexpr EnumName<VerdictWrite::Kind> kEnumNames<VerdictWrite::Kind>[] =
    {
        {VerdictWrite::Kind::kCreate, "create"},
        {VerdictWrite::Kind::kReplace, "replace"},
        {VerdictWrite::Kind::kRemove, "remove"},
};

class StoredVerdicts {
 public:
  // A node that is not the leader adds a verdict that has been missing for this
  // long: the leader may not know it.
  static constexpr Duration kLeaderFirst = std::chrono::seconds(1);
  // The stored time of the last refusal is at most this much too old. Far below
  // CrashVerdicts::kLifetime.
  static constexpr Duration kRefreshInterval = std::chrono::minutes(2);

  // Returns the name of the object in which a verdict on these features is
  // stored. It is the same on all nodes.
  static std::string NameOf(const std::vector<Feature>& features);
  // Whether an object of this name holds a verdict.
  static bool IsName(const std::string& name);

  // The store was listed: it holds no other verdicts than those that OnStored
  // tells of after this.
  void OnListBegins();
  // The store holds this verdict. One that can't be read has no features.
  void OnStored(const std::string& name, const CrashVerdict& verdict);
  // The object was removed from the store. Returns the verdict that it held if
  // that is known; it has ended.
  std::optional<CrashVerdict> OnRemoved(const std::string& name);

  // Returns what to write next, or nullopt. `held` are the verdicts of this
  // node. Nothing is written before the first list.
  std::optional<VerdictWrite> NextWrite(const std::vector<CrashVerdict>& held,
                                        bool is_leader,
                                        TimePoint now);

 private:
  // Returns the first held verdict that is to be created or replaced.
  std::optional<VerdictWrite> NextUpdate(const std::vector<CrashVerdict>& held,
                                         bool is_leader,
                                         TimePoint now);
  // Returns the removal of a stored verdict that this node does not hold.
  std::optional<VerdictWrite> NextRemoval(
      const std::vector<CrashVerdict>& held) const;
  // Whether the stored verdict is to be replaced by the held one.
  static bool IsOutdated(const CrashVerdict& stored, const CrashVerdict& held);

  bool listed_ = false;
  // By name of the object.
  std::map<std::string, CrashVerdict> stored_;
  // Since when a held verdict has been missing in the store, by name.
  std::map<std::string, TimePoint> missing_since_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CRASH_STORED_VERDICTS_H_
