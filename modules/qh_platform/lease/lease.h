// One node's view of the lease on one shard: a pure state machine over
// statecharts/lease.chart. It takes events and returns store calls to make; it
// does no I/O and reads no clock.
//
// At most one node uses a lease at a time, because of three rules. The holder
// counts the lease's duration from before it sent the write, and stops a margin
// before the end. Another node takes the lease over only after it has seen the
// record unchanged for the record's whole duration, measured on its own clock.
// Every write is conditional on the version that was read. Clocks of different
// nodes are never compared; only their rates matter, and the margin covers the
// difference between those.
//
// A store that was restored from an older copy has lost the newest records.
// Each epoch of the store therefore has a lease object of its own, which no
// copy can hold and no write of an earlier epoch can reach. The node that held
// the lease until the restore writes its record again at once. No other node
// takes a lease without a record before the whole duration has passed, because
// the holder may not know of the restore yet.

#ifndef QH_PLATFORM_LEASE_LEASE_H_
#define QH_PLATFORM_LEASE_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_platform/lease/lease_record.h"
#include "qh_platform/store/object_store.h"

namespace qh {

enum class LeaseState {
  kIdle,
  kReading,
  kObserving,
  kAcquiring,
  kHeld,
  kRenewing,
  kChecking,
  kReleasing,
};

template <>
inline constexpr EnumName<LeaseState> kEnumNames<LeaseState>[] = {
    {LeaseState::kIdle, "idle"},
    {LeaseState::kReading, "reading"},
    {LeaseState::kObserving, "observing"},
    {LeaseState::kAcquiring, "acquiring"},
    {LeaseState::kHeld, "held"},
    {LeaseState::kRenewing, "renewing"},
    {LeaseState::kChecking, "checking"},
    {LeaseState::kReleasing, "releasing"},
};

// Events of the chart.
enum class LeaseStep {
  kWant,
  kFoundFree,
  kFoundOwn,
  kConfirmed,
  kFoundHeld,
  kNoAnswer,
  kPoll,
  kExpired,
  kWritten,
  kConflict,
  kNotWritten,
  kRenew,
  kLapse,
  kRelease,
  kRestored,
};

template <>
inline constexpr EnumName<LeaseStep> kEnumNames<LeaseStep>[] = {
    {LeaseStep::kWant, "want"},
    {LeaseStep::kFoundFree, "found_free"},
    {LeaseStep::kFoundOwn, "found_own"},
    {LeaseStep::kConfirmed, "confirmed"},
    {LeaseStep::kFoundHeld, "found_held"},
    {LeaseStep::kNoAnswer, "no_answer"},
    {LeaseStep::kPoll, "poll"},
    {LeaseStep::kExpired, "expired"},
    {LeaseStep::kWritten, "written"},
    {LeaseStep::kConflict, "conflict"},
    {LeaseStep::kNotWritten, "not_written"},
    {LeaseStep::kRenew, "renew"},
    {LeaseStep::kLapse, "lapse"},
    {LeaseStep::kRelease, "release"},
    {LeaseStep::kRestored, "restored"},
};

struct LeaseSettings {
  // How long other nodes wait after a write of the record before they may take
  // the lease over.
  Duration duration = std::chrono::seconds(10);
  // The holder stops using the lease this long before `duration` has passed.
  Duration margin = std::chrono::milliseconds(2'500);
  // Interval between two renewals.
  Duration renew_every = std::chrono::seconds(3);
  // Interval between two reads of another holder's record, and between retries
  // while the lease is not held.
  Duration poll_every = std::chrono::seconds(3);
  // If two events are further apart than this, the process was paused and the
  // lease is treated as lost.
  Duration pause_limit = std::chrono::milliseconds(2'500);

  // Returns settings with which `leases` leases together are renewed at most
  // 100 times a second.
  static LeaseSettings ForFleet(uint32_t leases);
};

enum class LeaseEventKind {
  // Time has passed. To be sent at least every pause_limit / 4.
  kTick,
  // This node should hold the shard.
  kWant,
  // This node should not hold the shard, or no longer.
  kRelease,
  // `reply` is the reply to the store call `token`.
  kReply,
  // The store was restored from an older copy; `store_epoch` is its new epoch.
  kStoreRestored,
};

struct LeaseEvent {
  LeaseEventKind kind = LeaseEventKind::kTick;
  uint64_t token = 0;
  StoreReply reply;
  // kRelease: lower bound for the fencing number in the released record.
  uint64_t fencing_floor = 0;
  uint64_t store_epoch = 0;
};

enum class LeaseActionKind {
  // Send `request` to the store and return its reply as kReply with `token`.
  kStore,
  // The lease is held from now on.
  kAcquired,
  // The lease is no longer held; no work may be done under it.
  kLost,
};

template <>
inline constexpr EnumName<LeaseActionKind> kEnumNames<LeaseActionKind>[] = {
    {LeaseActionKind::kStore, "store"},
    {LeaseActionKind::kAcquired, "acquired"},
    {LeaseActionKind::kLost, "lost"},
};

struct LeaseAction {
  LeaseActionKind kind;
  uint64_t token = 0;
  StoreRequest request;
};

// The state of a lease for code that works under it.
struct LeaseView {
  bool held = false;
  // Fencing number of the lease; rises with each change of holder.
  uint64_t fencing = 0;
  // From this time on nothing may be sent under the lease.
  TimePoint usable_until;
  // Since this time no other node has used the lease.
  TimePoint exclusive_since;
};

class Lease {
 public:
  // Distance of the fencing numbers of two epochs of the store, so that numbers
  // of a later epoch are higher whatever the store has lost. The lease changes
  // hands less often than this within an epoch.
  static constexpr uint64_t kFencingPerEpoch = 1'000'000;

  // Creates a lease on `shard` for the process `incarnation` on `holder`.
  // `seed` is used for nonces and jitter and must differ between processes.
  static Lease Create(std::string shard,
                      std::string holder,
                      std::string incarnation,
                      const LeaseSettings& settings,
                      uint64_t seed);

  // Handles one event and returns the actions to carry out, in order. `now` is
  // the time on this process's monotonic clock.
  std::vector<LeaseAction> Advance(const LeaseEvent& event, TimePoint now);

  // Returns the state of the lease at `now`; `held` is true only while the
  // lease may be used.
  LeaseView View(TimePoint now) const;

  LeaseState state() const { return state_; }
  const std::string& shard() const { return shard_; }
  const LeaseSettings& settings() const { return settings_; }
  bool wanted() const { return wanted_; }
  // Sets the store's epoch when it becomes known. Later ones come as
  // kStoreRestored.
  void SetStoreEpoch(uint64_t epoch);
  // A lease without a record is not taken before `until`: another node may hold
  // it, whose record a restore of the store has lost.
  void BarClaims(TimePoint until) { claims_barred_until_ = until; }

 private:
  using Actions = std::vector<LeaseAction>;

  Lease(std::string shard,
        std::string holder,
        std::string incarnation,
        const LeaseSettings& settings,
        uint64_t seed);

  bool InHeldState() const;
  void CheckExpiry(TimePoint now, Actions& actions);
  void OnTick(TimePoint now, Actions& actions);
  void OnReply(const LeaseEvent& event, TimePoint now, Actions& actions);
  void OnWriteReply(const StoreReply& reply, TimePoint now, Actions& actions);
  void OnStoreRestored(TimePoint now, Actions& actions);
  // Whether a lease without a record may be taken at once.
  bool MayClaim(TimePoint now) const;
  LeaseStep ClassifyRead(const StoreReply& reply, TimePoint now);
  void OnObserved(const StoreReply& reply, TimePoint now);
  // Applies `step` to the chart and runs the actions of the new state. A step
  // that the chart does not allow is ignored.
  void Transition(LeaseStep step, TimePoint now, Actions& actions);
  void Enter(LeaseState from, LeaseStep step, TimePoint now, Actions& actions);
  void SendRead(Actions& actions);
  void SendWrite(bool released, TimePoint now, Actions& actions);
  void ScheduleRetry(TimePoint now);

  std::string shard_;
  std::string holder_;
  std::string incarnation_;
  LeaseSettings settings_;
  Rng rng_;
  LeaseState state_;
  bool wanted_ = false;

  // Token of the store call in flight; replies with another token are ignored.
  uint64_t token_ = 0;
  bool in_flight_ = false;
  // The last record sent to the store; its outcome may be unknown.
  LeaseRecord written_;
  TimePoint written_at_;

  // The record as last read or written, and its version.
  LeaseRecord record_;
  uint64_t version_ = kAbsentVersion;
  // Since when version_ has been unchanged; only set while another node's
  // record is observed.
  std::optional<TimePoint> observed_since_;
  uint64_t fencing_floor_ = 0;
  uint64_t store_epoch_ = 0;
  // Until then a missing record doesn't mean that the lease is free.
  TimePoint claims_barred_until_;
  // Until then this node is the one that held the lease before the restore.
  TimePoint reclaim_until_;

  // End of the time in which the lease may be used; set by confirmed writes
  // only.
  TimePoint usable_until_;
  // Empty while the last record seen is another holder's.
  std::optional<TimePoint> exclusive_since_;
  // Time of the next renewal, poll or retry.
  TimePoint next_at_;
  std::optional<TimePoint> last_event_;
};

}  // namespace qh

#endif  // QH_PLATFORM_LEASE_LEASE_H_
