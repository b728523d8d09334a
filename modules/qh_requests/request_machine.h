// Life cycle of one request on one node, as a state machine. The transitions
// are in statecharts/request.chart. The machine takes events and returns
// actions; its owner does the I/O and passes in the time.

#ifndef QH_REQUESTS_REQUEST_MACHINE_H_
#define QH_REQUESTS_REQUEST_MACHINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/text/enum_table.h"
#include "qh_requests/request.h"

namespace qh {

enum class RequestState {
  kReceived,
  // Waits for the claim of its idempotency key.
  kClaiming,
  // Waits for a backend server.
  kChoosing,
  // An attempt is in flight; no part of the answer has arrived.
  kDispatched,
  // A part of the answer has arrived.
  kAnswering,
  // The server is lost or leaving. Advance leaves this state again before it
  // returns.
  kDeciding,
  // Handed over while the call runs here; the outcome goes to the peer.
  kRelaying,
  // Taken over from a node that still runs the call and will send its outcome.
  kAwaiting,
  kAnswered,
  kRefused,
  // Handed over to a peer.
  kMoved,
};

template <>
inline constexpr EnumName<RequestState> kEnumNames<RequestState>[] = {
    {RequestState::kReceived, "received"},
    {RequestState::kClaiming, "claiming"},
    {RequestState::kChoosing, "choosing"},
    {RequestState::kDispatched, "dispatched"},
    {RequestState::kAnswering, "answering"},
    {RequestState::kDeciding, "deciding"},
    {RequestState::kRelaying, "relaying"},
    {RequestState::kAwaiting, "awaiting"},
    {RequestState::kAnswered, "answered"},
    {RequestState::kRefused, "refused"},
    {RequestState::kMoved, "moved"},
};

enum class RequestEventKind {
  // Accepted: an idempotent request.
  kAccept,
  // Accepted: a request that may run at most once.
  kAcceptOnce,
  // Refused on arrival.
  kReject,
  // Taken over from a peer, to continue in the named state.
  kRestoreClaiming,
  kRestoreChoosing,
  kRestoreAwaiting,
  kClaimWon,
  // An earlier run of the same key was answered; its answer is replayed.
  kClaimReplayed,
  kClaimRefused,
  kServerChosen,
  kNoServer,
  // Raised by the machine when it retries after kNoServer.
  kWaitForServer,
  // The connection failed before any byte reached the server.
  kNotConnected,
  // A part of a streamed answer.
  kFirstPart,
  kPart,
  kCompleted,
  // The connection was lost after the request was sent.
  kServerLost,
  // The server drains or is about to be reclaimed.
  kServerLeaving,
  // Raised by the machine after a lost server.
  kResume,
  kGiveUp,
  // The request is handed over to a peer.
  kMovedToPeer,
  // The same, raised by the machine when the call may run at most once and a
  // server already runs it.
  kMovedRunning,
  // The node that ran the call sent its answer, or failed to.
  kRelayedAnswer,
  kRelayLost,
  kDeadline,
  kCallerGone,
};

template <>
inline constexpr EnumName<RequestEventKind> kEnumNames<RequestEventKind>[] = {
    {RequestEventKind::kAccept, "accept"},
    {RequestEventKind::kAcceptOnce, "accept_once"},
    {RequestEventKind::kReject, "reject"},
    {RequestEventKind::kRestoreClaiming, "restore_claiming"},
    {RequestEventKind::kRestoreChoosing, "restore_choosing"},
    {RequestEventKind::kRestoreAwaiting, "restore_awaiting"},
    {RequestEventKind::kClaimWon, "claim_won"},
    {RequestEventKind::kClaimReplayed, "claim_replayed"},
    {RequestEventKind::kClaimRefused, "claim_refused"},
    {RequestEventKind::kServerChosen, "server_chosen"},
    {RequestEventKind::kNoServer, "no_server"},
    {RequestEventKind::kWaitForServer, "wait_for_server"},
    {RequestEventKind::kNotConnected, "not_connected"},
    {RequestEventKind::kFirstPart, "first_part"},
    {RequestEventKind::kPart, "part"},
    {RequestEventKind::kCompleted, "completed"},
    {RequestEventKind::kServerLost, "server_lost"},
    {RequestEventKind::kServerLeaving, "server_leaving"},
    {RequestEventKind::kResume, "resume"},
    {RequestEventKind::kGiveUp, "give_up"},
    {RequestEventKind::kMovedToPeer, "moved_to_peer"},
    {RequestEventKind::kMovedRunning, "moved_running"},
    {RequestEventKind::kRelayedAnswer, "relayed_answer"},
    {RequestEventKind::kRelayLost, "relay_lost"},
    {RequestEventKind::kDeadline, "deadline"},
    {RequestEventKind::kCallerGone, "caller_gone"},
};

// Input of the machine.
struct RequestEvent {
  RequestEventKind kind;
  // Set for kServerChosen.
  ServerId server;
  // Reason for kReject, kClaimRefused, kNoServer, kServerLost and kGiveUp.
  ErrorKind error = ErrorKind::kInternal;
  // Number of tokens in this part (kFirstPart, kPart, kCompleted).
  uint32_t tokens = 0;
  // The attempt that this event belongs to: RequestAction::generation of its
  // kDispatch. Required for kNotConnected, kFirstPart, kPart, kCompleted and
  // kServerLost; events of an earlier attempt are dropped.
  uint32_t generation = 0;
};

enum class RequestActionKind {
  // Request the claim of the idempotency key.
  kClaim,
  // Choose a server; report kServerChosen or kNoServer.
  kChoose,
  // Choose a server after `delay`.
  kChooseLater,
  // Send the request to `server`. The answer continues after the first
  // `resume_from` tokens.
  kDispatch,
  // Close the connection to `server`; bytes that arrive later are dropped.
  kCancel,
  // Record the answer as the claim's outcome.
  kRecordOutcome,
  // Record that the claimed call may have run.
  kRecordUnknown,
  // Record that no byte of the claimed call was sent, which frees its key.
  kReleaseClaim,
  // Send the answer to the peer that took the request over.
  kRelayAnswer,
  // Report to that peer that no answer will follow.
  kRelayLost,
  // Complete the answer to the caller.
  kFinish,
  // Answer with `error`; in a stream that has started, as an event.
  kRefuse,
};

template <>
inline constexpr EnumName<RequestActionKind> kEnumNames<RequestActionKind>[] = {
    {RequestActionKind::kClaim, "claim"},
    {RequestActionKind::kChoose, "choose"},
    {RequestActionKind::kChooseLater, "choose_later"},
    {RequestActionKind::kDispatch, "dispatch"},
    {RequestActionKind::kCancel, "cancel"},
    {RequestActionKind::kRecordOutcome, "record_outcome"},
    {RequestActionKind::kRecordUnknown, "record_unknown"},
    {RequestActionKind::kReleaseClaim, "release_claim"},
    {RequestActionKind::kRelayAnswer, "relay_answer"},
    {RequestActionKind::kRelayLost, "relay_lost"},
    {RequestActionKind::kFinish, "finish"},
    {RequestActionKind::kRefuse, "refuse"},
};

// What the owner of the machine has to do.
struct RequestAction {
  RequestActionKind kind;
  // Set for kDispatch and kCancel.
  ServerId server;
  // Set for kDispatch.
  uint32_t resume_from = 0;
  // Set for kRefuse.
  ErrorKind error = ErrorKind::kInternal;
  // Number of this attempt (kDispatch): see RequestEvent::generation.
  uint32_t generation = 0;
  // Set for kChooseLater.
  Duration delay = Duration::zero();
};

// State of a request that a handover carries to the next node.
struct RequestProgress {
  // Tokens already sent to the caller.
  uint32_t tokens_sent = 0;
  // Attempts on all nodes together.
  uint32_t attempts = 0;
  std::vector<ServerId> failed_servers;
  // Whether this request holds the claim of its key.
  bool claim_held = false;
  // Whether a byte of the request may have reached a backend server.
  bool may_have_reached_server = false;
};

// Not thread safe.
class RequestMachine {
 public:
  // Creates the machine in its initial state. `max_attempts` bounds the
  // attempts of one request, the first included; it must not be zero.
  static RequestMachine Create(RequestSpec spec, uint32_t max_attempts);

  // Creates the machine of a request that a peer handed over. Its first event
  // must be HandoverRecord::resume_event.
  static RequestMachine Restore(RequestSpec spec,
                                uint32_t max_attempts,
                                RequestProgress progress);

  // Handles one event and returns the actions to perform, in order. An event
  // that is not allowed in the current state changes nothing and returns no
  // action.
  std::vector<RequestAction> Advance(const RequestEvent& event, TimePoint now);

  const RequestSpec& spec() const { return spec_; }
  RequestState state() const { return state_; }
  bool is_final() const;
  // Tokens already sent to the caller.
  uint32_t tokens_sent() const { return progress_.tokens_sent; }
  // Servers that failed this request and are not chosen again. Cleared when
  // the choice is put off because no server is left.
  const std::vector<ServerId>& failed_servers() const {
    return progress_.failed_servers;
  }
  uint32_t attempts() const { return progress_.attempts; }
  const RequestProgress& progress() const { return progress_; }
  // Server of the current attempt; empty when there is none.
  const ServerId& server() const { return server_; }
  // Number of the current attempt; see RequestEvent::generation.
  uint32_t generation() const { return generation_; }

 private:
  RequestMachine(RequestSpec spec,
                 uint32_t max_attempts,
                 RequestProgress progress);

  // Whether the caller has already received a part of the stream.
  bool StreamStarted() const;
  // Whether `event` has no effect, whatever the chart allows.
  bool IsIgnored(const RequestEvent& event) const;
  // Returns the actions of an event whose transition was taken.
  std::vector<RequestAction> ActionsFor(const RequestEvent& event,
                                        TimePoint now);
  std::vector<RequestAction> Dispatch(const RequestEvent& event);
  std::vector<RequestAction> Complete(const RequestEvent& event);
  // Resumes on another server or gives up.
  std::vector<RequestAction> HandleServerLoss(const RequestEvent& event,
                                              TimePoint now);
  // Chooses again later or refuses.
  std::vector<RequestAction> HandleNoServer(const RequestEvent& event,
                                            TimePoint now);
  // Ends the request at its deadline or when the caller is gone; `before` is
  // the state that it left.
  std::vector<RequestAction> CancelAndRefuse(RequestState before);
  // Refuses with `error`, or with an error that does not say "not executed"
  // when a server may have run the request. Settles the claim.
  std::vector<RequestAction> Refuse(ErrorKind error);

  RequestSpec spec_;
  uint32_t max_attempts_;
  RequestState state_;
  RequestProgress progress_;
  // Incremented for each attempt on this node, and when one is abandoned.
  uint32_t generation_ = 0;
  ServerId server_;
};

}  // namespace qh

#endif  // QH_REQUESTS_REQUEST_MACHINE_H_
