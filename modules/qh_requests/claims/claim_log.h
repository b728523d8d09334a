// Writer of one claim partition: a log in the object store, appended in batches
// by conditional writes (group commit).
//
// The log is a ring of kClaimRingSlots objects. Entry n is stored in slot
// n mod kClaimRingSlots. It is written on the condition that the slot still has
// the version known to this writer: if two writers append at the same time, one
// of them fails, regardless of clocks and leases. Ring objects are never
// deleted, so that a writer that was paused for a long time cannot write to a
// position that was already used.
//
// kClaimBlockEntries entries form a block. A complete block is copied into a
// segment, a separate object, before the ring overwrites it. The content of a
// segment depends only on the log, so that any writer may write it.

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
// Must divide kClaimRingSlots.
inline constexpr uint64_t kClaimBlockEntries = 32;

struct ClaimLogSettings {
  // Minimum time between the starts of two entry writes.
  Duration flush_interval = std::chrono::milliseconds(62);
  // How long an outcome may wait for an entry that carries claims.
  Duration max_outcome_delay = std::chrono::milliseconds(250);
  // Maximum number of records in one entry.
  size_t max_batch_records = 256;
  // Maximum total size of the answers in one entry, in bytes; further answers
  // are not stored.
  size_t max_batch_answer_bytes = size_t{128} << 10;
  // Maximum size of a stored answer, content type included, in bytes. A resend
  // of a request with a larger answer is refused with kAnswerNotKept.
  size_t max_answer_bytes = 4096;
  // Maximum size of a segment, in bytes; a larger one is written without
  // answers.
  size_t max_segment_bytes = size_t{900} << 10;
  // How long a claim is kept after its last record.
  Duration retention = std::chrono::hours(24);
  // Maximum number of claims in memory; requests for more are refused.
  size_t max_claims = 1 << 20;
  // Maximum time that a claim request waits for the store.
  Duration max_request_wait = std::chrono::seconds(2);
  // A request is refused because of another run only when the end of the log
  // was read within this time, since that run may have ended meanwhile.
  Duration max_log_staleness = std::chrono::milliseconds(500);
  // Bounds of the exponential backoff after a failed store call.
  Duration min_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(1);
  // Offset that turns the time passed to ClaimLog into the time since the
  // epoch.
  Duration wall_offset = Duration::zero();
};

// States of statecharts/claim_log.chart.
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

// Events of statecharts/claim_log.chart.
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
  // Send `request` to the store and pass the reply to OnStoreReply with
  // `token`.
  kStore,
  // Return `answer` to the node that sent the claim request.
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

// Does no I/O and reads no clock. Not thread safe. The methods return the
// actions to perform, in order.
class ClaimLog {
 public:
  using Actions = std::vector<ClaimAction>;

  // Creates the writer of `partition`. `seed` feeds its nonces and must differ
  // between writers. Fails with kConfigInvalid when `partition` is not below
  // kClaimPartitions.
  static Result<ClaimLog> Create(uint32_t partition,
                                 ClaimLogSettings settings,
                                 uint64_t seed);

  // Accepts a claim request. It is answered exactly once, by this call or a
  // later one, at the latest by the Tick after its wait or max_request_wait.
  // After a refusal with kClaimUnavailable the claim may still become durable:
  // a requester that gives up reports kNotDispatched to release it.
  Actions Submit(const ClaimRequest& request, TimePoint now);

  // Accepts an outcome, which is written with the next entry.
  Actions Report(const OutcomeReport& report, TimePoint now);

  // Handles the reply to the store request `token`; an unknown token is
  // ignored.
  Actions OnStoreReply(uint64_t token, const StoreReply& reply, TimePoint now);

  // Sets the members that are known to be dead. It only affects which error a
  // refusal carries: a run of a dead member is not reported as in progress.
  void SetDeadMembers(std::set<InstanceId> dead) {
    dead_members_ = std::move(dead);
  }

  // Performs due work. Must be called at least every flush_interval.
  Actions Tick(TimePoint now);

  ClaimLogState state() const { return state_; }
  // Position of the next entry.
  uint64_t next_sequence() const { return next_sequence_; }
  size_t claims() const { return table_.size(); }
  // Claim requests without an answer and outcomes that are not durable yet.
  size_t pending_requests() const { return pending_requests_.size(); }
  size_t pending_outcomes() const { return pending_outcomes_.size(); }

 private:
  enum class CallKind { kLog, kSegmentPut, kSegmentDelete };

  struct Call {
    CallKind kind = CallKind::kLog;
    // Index of the segment; set for kSegmentPut and kSegmentDelete.
    uint64_t segment = 0;
  };

  struct PendingRequest {
    ClaimRequest request;
    // When it is refused for want of an answer.
    TimePoint expires_at;
  };

  struct PendingOutcome {
    OutcomeReport report;
    TimePoint reported_at;
  };

  ClaimLog(uint32_t partition, ClaimLogSettings settings, uint64_t seed);

  bool Transition(ClaimLogEvent event);
  // Milliseconds since the epoch.
  uint64_t WallMs(TimePoint now) const;
  std::string SlotKey(uint64_t sequence) const;
  std::string SegmentKey(uint64_t index) const;

  // Answers requests and starts all store calls that are due.
  Actions PerformDueWork(TimePoint now);
  void AnswerRequests(Actions& actions, TimePoint now);
  void SendList(Actions& actions, TimePoint now);
  void SendGet(Actions& actions, TimePoint now);
  void SendBatch(Actions& actions, TimePoint now);
  void SendSegment(Actions& actions, TimePoint now);
  void SendSegmentDelete(Actions& actions, TimePoint now);
  void SendToStore(Actions& actions, Call call, StoreRequest request);
  bool IsInFlight(CallKind kind) const;
  // Claims last written before this time, in milliseconds since the epoch, have
  // expired.
  uint64_t ExpiryMs(TimePoint now) const;
  bool IsBatchDue(TimePoint now) const;
  // Whether the block that the next entry overwrites is in a segment.
  bool SlotMayBeOverwritten() const;
  ClaimBatch BuildBatch(TimePoint now);

  void OnList(const StoreReply& reply, TimePoint now);
  // Builds the table from a listing. Returns false when the listing is
  // malformed or not a consistent snapshot of the log.
  bool Load(const StoreReply& reply, uint64_t expiry_ms);
  bool LoadSegment(const ClaimBatch& segment, uint64_t expiry_ms);
  void OnPut(const StoreReply& reply, TimePoint now);
  void OnGet(const StoreReply& reply, TimePoint now);
  void OnSegmentPut(uint64_t index, const StoreReply& reply, TimePoint now);
  void OnSegmentDelete(uint64_t index, const StoreReply& reply, TimePoint now);
  // Applies the entry at next_sequence_.
  void Append(ClaimBatch entry, uint64_t slot_version);
  void StartBackoff(TimePoint now);
  void Unload();

  const uint32_t partition_;
  const ClaimLogSettings settings_;
  Rng rng_;
  ClaimLogState state_;
  ClaimTable table_;
  std::set<InstanceId> dead_members_;

  // Position of the next entry; all entries before it are applied to table_.
  uint64_t next_sequence_ = 0;
  // Version of each slot's object; kAbsentVersion when it does not exist.
  std::array<uint64_t, kClaimRingSlots> slot_versions_{};
  // Records of the blocks that have no segment yet, by block index.
  std::map<uint64_t, std::vector<ClaimRecord>> open_blocks_;
  // Index of the next segment to write; all before it are durable.
  uint64_t next_segment_ = 0;
  // Time of the newest record of each existing segment, in milliseconds since
  // the epoch, by segment index.
  std::map<uint64_t, uint64_t> segment_newest_ms_;

  std::deque<PendingRequest> pending_requests_;
  std::deque<PendingOutcome> pending_outcomes_;
  // The batch that is being written, or whose write has an unknown result;
  // empty otherwise.
  std::optional<ClaimBatch> batch_;
  // Number of outcomes, from the front of pending_outcomes_, in batch_.
  size_t batch_outcome_count_ = 0;

  uint64_t next_token_ = 1;
  std::map<uint64_t, Call> calls_in_flight_;
  TimePoint last_batch_started_{Duration::min()};
  // Start of the last store call that confirmed the end of the log.
  TimePoint log_end_read_at_{Duration::min()};
  TimePoint log_call_started_{Duration::min()};
  // Backoff: no store call starts before these times.
  TimePoint log_call_not_before_{Duration::min()};
  TimePoint segment_call_not_before_{Duration::min()};
  Duration backoff_ = Duration::zero();
  TimePoint last_expired_at_{Duration::min()};
};

}  // namespace qh

#endif  // QH_REQUESTS_CLAIMS_CLAIM_LOG_H_
