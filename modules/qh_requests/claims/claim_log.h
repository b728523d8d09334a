// Writer of one claim partition: a log in the object store, appended in batches
// by conditional writes (group commit).
//
// The log is a ring of kClaimRingSlots objects. Entry n lives in slot
// n mod kClaimRingSlots and is written on condition that the slot still has the
// version that this writer knows, so that of two writers one loses, whatever
// their clocks or leases say. Objects of the ring are never deleted: a writer
// that was paused for long can't take a position that was already used.
//
// kClaimBlockEntries entries form a block. A complete block is copied into a
// segment, an object of its own, before the ring overwrites it. A segment's
// content follows from the log alone, so that any writer may write it.

#ifndef QH_REQUESTS_CLAIMS_CLAIM_LOG_H_
#define QH_REQUESTS_CLAIMS_CLAIM_LOG_H_

#include <array>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_platform/store/object_store.h"
#include "qh_requests/claims/claim_table.h"

namespace qh {

inline constexpr uint64_t kClaimRingSlots = 64;
inline constexpr uint64_t kClaimBlockEntries = 32;

struct ClaimLogSettings {
  // Least time between the starts of two entries that carry claims.
  Duration flush_interval = std::chrono::milliseconds(62);
  // How long outcomes may wait for an entry that carries claims.
  Duration outcome_linger = std::chrono::milliseconds(250);
  // Records of one entry.
  size_t max_batch_records = 256;
  // Bytes of the answers of one entry; further answers are not kept.
  size_t max_batch_answer_bytes = size_t{128} << 10;
  // Largest answer body that is kept for a resend.
  size_t max_answer_bytes = 4096;
  // Bytes of one segment; a larger one is written without answers.
  size_t max_segment_bytes = size_t{900} << 10;
  // How long a claim is kept after its last record.
  Duration retention = std::chrono::hours(24);
  // Claims kept in memory; beyond this new ones are refused.
  size_t max_claims = 1 << 20;
  // Longest time that an ask waits for the store.
  Duration max_request_wait = std::chrono::seconds(2);
  // A refusal because of another run is given only when the log's end was
  // looked at within this time.
  Duration freshness = std::chrono::milliseconds(500);
  // Delays after a failed store call.
  Duration min_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(1);
  // Wall clock minus the decision clock, since the epoch.
  Duration wall_offset = Duration::zero();
};

enum class ClaimLogState {
  kUnloaded,
  kLoading,
  kReady,
  kWriting,
  kUnsure,
  kReading,
};

template <>
inline constexpr EnumName<ClaimLogState> kEnumNames<ClaimLogState>[] = {
    {ClaimLogState::kUnloaded, "unloaded"},
    {ClaimLogState::kLoading, "loading"},
    {ClaimLogState::kReady, "ready"},
    {ClaimLogState::kWriting, "writing"},
    {ClaimLogState::kUnsure, "unsure"},
    {ClaimLogState::kReading, "reading"},
};

enum class ClaimLogEvent {
  kListSent,
  kListOk,
  kListFailed,
  kPutSent,
  kPutOk,
  kPutRefused,
  kPutUnsure,
  kGetSent,
  kEntryRead,
  kSlotFree,
  kGetFailed,
  kLogLapped,
};

template <>
inline constexpr EnumName<ClaimLogEvent> kEnumNames<ClaimLogEvent>[] = {
    {ClaimLogEvent::kListSent, "list_sent"},
    {ClaimLogEvent::kListOk, "list_ok"},
    {ClaimLogEvent::kListFailed, "list_failed"},
    {ClaimLogEvent::kPutSent, "put_sent"},
    {ClaimLogEvent::kPutOk, "put_ok"},
    {ClaimLogEvent::kPutRefused, "put_refused"},
    {ClaimLogEvent::kPutUnsure, "put_unsure"},
    {ClaimLogEvent::kGetSent, "get_sent"},
    {ClaimLogEvent::kEntryRead, "entry_read"},
    {ClaimLogEvent::kSlotFree, "slot_free"},
    {ClaimLogEvent::kGetFailed, "get_failed"},
    {ClaimLogEvent::kLogLapped, "log_lapped"},
};

enum class ClaimActionKind {
  // Send `request` to the store; give the reply to OnStoreReply with `token`.
  kStore,
  // Give `answer` to whoever asked.
  kAnswer,
};

template <>
inline constexpr EnumName<ClaimActionKind> kEnumNames<ClaimActionKind>[] = {
    {ClaimActionKind::kStore, "store"},
    {ClaimActionKind::kAnswer, "answer"},
};

struct ClaimAction {
  ClaimActionKind kind;
  uint64_t token = 0;
  StoreRequest request;
  ClaimAnswer answer;
};

// No I/O, no clock; the owner serialises calls. Every call returns what to do,
// in order.
class ClaimLog {
 public:
  using Actions = std::vector<ClaimAction>;

  // Creates the writer of `partition`. `seed` feeds its nonces and must differ
  // between writers. Fails with kConfigInvalid when `partition` is not below
  // kClaimPartitions.
  static Result<ClaimLog> Create(uint32_t partition,
                                 ClaimLogSettings settings,
                                 uint64_t seed);

  // Takes an ask. It is answered once, by this call or a later one, no later
  // than the Tick after its wait or max_request_wait. A refusal with
  // kClaimUnavailable promises nothing about the log: the asker that gives up
  // reports kNotDispatched.
  Actions Submit(const ClaimRequest& request, TimePoint now);

  // Takes an outcome; it is written with the next entry.
  Actions Report(const OutcomeReport& report, TimePoint now);

  // Takes the reply to the store request `token`; an unknown token is ignored.
  Actions OnStoreReply(uint64_t token, const StoreReply& reply, TimePoint now);

  // Members that were seen to die; a hint for the wording of refusals.
  void SetDeadMembers(std::set<InstanceId> dead) { dead_ = std::move(dead); }

  // Does what is due. Call it at least every flush_interval.
  Actions Tick(TimePoint now);

  ClaimLogState state() const { return state_; }
  // Position of the next entry.
  uint64_t next_sequence() const { return next_sequence_; }
  size_t claims() const { return table_.size(); }
  // Asks and outcomes that are not durable yet.
  size_t pending_requests() const { return requests_.size(); }
  size_t pending_outcomes() const { return outcomes_.size(); }

 private:
  enum class CallKind { kLog, kSegmentPut, kSegmentDelete };

  struct Call {
    CallKind kind = CallKind::kLog;
    // Segment of kSegmentPut and kSegmentDelete.
    uint64_t segment = 0;
  };

  struct PendingRequest {
    ClaimRequest request;
    TimePoint until;
  };

  struct PendingOutcome {
    OutcomeReport report;
    TimePoint since;
  };

  ClaimLog(uint32_t partition, ClaimLogSettings settings, uint64_t seed);

  bool Step(ClaimLogEvent event);
  uint64_t WallMs(TimePoint now) const;
  std::string SlotKey(uint64_t sequence) const;
  std::string SegmentKey(uint64_t index) const;

  // Does all that can be done now.
  Actions Pump(TimePoint now);
  void AnswerRequests(Actions& actions, TimePoint now);
  void SendList(Actions& actions, TimePoint now);
  void SendGet(Actions& actions, TimePoint now);
  void SendBatch(Actions& actions, TimePoint now);
  void SendSegment(Actions& actions, TimePoint now);
  void SendSegmentDelete(Actions& actions, TimePoint now);
  void Send(Actions& actions, Call call, StoreRequest request);
  bool InFlight(CallKind kind) const;
  // Claims last written before this time are forgotten.
  uint64_t ExpiryMs(TimePoint now) const;
  bool BatchDue(TimePoint now) const;
  bool SlotCovered() const;
  ClaimBatch MakeBatch(TimePoint now);

  void OnList(const StoreReply& reply, TimePoint now);
  bool Load(const StoreReply& reply, uint64_t expiry_ms);
  bool LoadSegment(const ClaimBatch& segment, uint64_t expiry_ms);
  void OnPut(const StoreReply& reply, TimePoint now);
  void OnGet(const StoreReply& reply, TimePoint now);
  void OnSegmentPut(uint64_t index, const StoreReply& reply, TimePoint now);
  void OnSegmentDelete(uint64_t index, const StoreReply& reply, TimePoint now);
  // Applies the entry at next_sequence_.
  void Append(ClaimBatch entry, uint64_t slot_version);
  void BackOff(TimePoint now);
  void Unload();

  const uint32_t partition_;
  const ClaimLogSettings settings_;
  Rng rng_;
  ClaimLogState state_;
  ClaimTable table_;
  std::set<InstanceId> dead_;

  // Every entry below this one is in table_.
  uint64_t next_sequence_ = 0;
  // Version of each slot's object; kAbsentVersion when it does not exist.
  std::array<uint64_t, kClaimRingSlots> slot_versions_{};
  // Records of the blocks that have no segment yet, by block.
  std::map<uint64_t, std::vector<ClaimRecord>> blocks_;
  // Segments below this one are durable.
  uint64_t segments_done_ = 0;
  // When the newest record of each existing segment was written, by index.
  std::map<uint64_t, uint64_t> segments_;

  std::deque<PendingRequest> requests_;
  std::deque<PendingOutcome> outcomes_;
  // The batch in flight or of unknown fate; empty otherwise.
  std::optional<ClaimBatch> batch_;
  // Outcomes at the head of outcomes_ that batch_ carries.
  size_t batch_outcomes_ = 0;

  uint64_t next_token_ = 1;
  std::map<uint64_t, Call> calls_;
  TimePoint last_batch_{Duration::min()};
  // When the last look at the log's end began.
  TimePoint synced_{Duration::min()};
  TimePoint call_started_{Duration::min()};
  TimePoint not_before_{Duration::min()};
  TimePoint segment_not_before_{Duration::min()};
  Duration backoff_ = Duration::zero();
  TimePoint last_expiry_{Duration::min()};
};

}  // namespace qh

#endif  // QH_REQUESTS_CLAIMS_CLAIM_LOG_H_
