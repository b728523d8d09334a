// Handles one request of a caller, from its receipt to the end of its answer:
// admission checks, the attempts at backend servers, forwarding of the answer,
// retries, and the migration of streams. A request that isn't repeatable gets a
// second attempt only if the server said that it did not execute the first.

#ifndef QH_GATEWAY_FORWARDING_EXCHANGE_H_
#define QH_GATEWAY_FORWARDING_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "qh_gateway/decisions/answers/answer_evidence.h"
#include "qh_gateway/decisions/streams/event_gaps.h"
#include "qh_gateway/decisions/streams/event_splitter.h"
#include "qh_gateway/forwarding/crash_probe.h"
#include "qh_gateway/forwarding/gateway_state.h"
#include "qh_gateway/forwarding/server_connection.h"

namespace qh {

// One request and its answer. Keeps itself alive through its pending
// operations; callbacks that outlive it hold weak pointers.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // Receives the answer.
  struct AnswerSink {
    // Called once, before the head of the answer is written. Returns how long
    // the caller may then keep the connection idle, or nothing if the
    // connection closes after the answer.
    std::function<std::optional<std::chrono::seconds>()> begin_answer;
    // Writes bytes of the answer; `last` marks the end of the answer.
    std::function<void(std::string bytes, bool last)> write;
    // Closes the caller's connection because the answer can't be completed; the
    // caller must be able to see that it is incomplete.
    std::function<void()> abort;
  };

  // `received` is when the request was complete.
  static std::shared_ptr<Exchange> Create(GatewayState& state,
                                          CallerRequest request,
                                          TimePoint received,
                                          AnswerSink sink);

  // Runs the admission checks and starts the first attempt. May call `sink`
  // before it returns.
  void Start();
  // The connection to the caller has ended, for `reason`; closes the server's
  // connection, which cancels the work there.
  void OnCallerDisconnected(const std::string& reason);
  // Stops reading from the server while the caller reads too slowly (`active`),
  // or goes on reading.
  void SetBackpressure(bool active);

 private:
  // No attempt is started with less time left than this.
  static constexpr Duration kMinAttemptTime = std::chrono::milliseconds(15);
  // Retry-After of requests that are refused because no server can take them.
  static constexpr Duration kNoServerRetryAfter =
      std::chrono::milliseconds(400);

  using HeadFields = std::vector<HttpField>;

  Exchange(GatewayState& state,
           CallerRequest request,
           TimePoint received,
           AnswerSink sink);

  // Admission checks, in this order. Each returns false if it ended the
  // exchange with an error answer.
  // Finds the route and its service and sets the deadline.
  bool SelectRoute();
  bool AuthenticateTeam();
  bool CheckBlockedFeatures();
  bool ChargeTeamLimit();
  // Answers a request of `units` that the team's limit doesn't admit now.
  void RefuseByTeamLimit(double units, Duration wait, TimePoint now);

  // Attempts: picks a server, gets a connection to it and sends the request.
  Result<ServerPick> Choose(TimePoint now);
  void StartAttempt();
  // Connects to the server that was picked for the first or a further attempt.
  void Connect(const ServerPick& pick, TimePoint now);
  void OnConnectionReady(const ServerPick& pick,
                         const ServerConnectionPtr& connection);
  // No connection to the server could be made.
  void OnUnreachable(const ServerPick& pick);
  void SendAttempt(const ServerPick& pick,
                   const ServerConnectionPtr& connection);
  // Whether the request may be sent to a server, given what is known to crash
  // servers. Every send asks this: the first, retries, replacements and
  // migrations.
  bool MaySend() const;
  // Takes the permit that each send to a server with a rate limit needs.
  // Returns whether there was one.
  bool TakeServerPermit(const ServerId& server);
  // Answers a request that MaySend forbids.
  void RefuseSend();
  // Takes the request back from a server that has not begun to answer it, if it
  // is blocked now.
  void OnFeaturesBlocked();

  // Waiting for room at the servers (exchange_waiting.cpp). Only the first
  // attempt waits, and only until a server was picked.
  // Waits if others wait already. Returns whether it does.
  bool WaitBehindOthers(TimePoint now);
  // Waits for room after `error` if there can be some in time. Returns whether
  // it does.
  bool WaitForRoom(const Error& error, TimePoint now);
  // Puts the request in the wait queue of its service.
  void Wait(TimePoint now);
  // Whether admission decisions apply to the request, and it has not been sent.
  bool CanWait() const;
  // See PickQuery::hold_per_slot.
  std::optional<double> HoldPerSlot() const;
  // Fills in admission_. `slots` are those of the service's servers.
  void DescribeForAdmission(double slots, TimePoint now);
  // The slots of the service's servers; zero if they are not known.
  double ServiceSlots() const;
  // The priority by which capacity is allocated, see UrgencyStep.
  int Urgency() const;
  // The hooks of the wait queue, see WaitingRequests::Hooks.
  WaitingRequests::StartOutcome TryStartWaiting(TimePoint now);
  void OnWaitRefused(const WaitQueue::Refusal& refusal);
  // Returns a refusal for want of capacity with the time at which there is
  // expected to be room.
  Error WithScheduledReturn(const Error& error, TimePoint now);
  // Remembers a refusal that asks the caller to come back.
  void RememberRefusal(const Error& error);
  // The request was sent to a server.
  void OnAdmitted(TimePoint now);
  // A request that was started from the queue was sent, or won't be.
  void EndStarting();
  // The request does not wait any more, however it ended.
  void LeaveQueue(TimePoint now);
  // An attempt ended at its server.
  void OnServerReleased(AttemptOutcome outcome, TimePoint now);

  // Arms the timer that ends the exchange at `when`.
  void ArmDeadlineTimer(TimePoint when);
  // The node ends: answers the request, or breaks off an answer that has begun.
  void OnNodeStops();
  // The final answer is due, unless the answer has begun.
  void OnAnswerDue();
  void OnDeadline();

  // Migration of a running stream off a server that is about to be reclaimed.
  void OnServerLeaving(Duration leaves_in);
  // Considers a migration after `delay`.
  void ArmMigrationTimer(Duration delay);
  void ConsiderMigration(TimePoint leaves_at);
  void StartMigration(const ServerPick& destination);
  // The reply of the server at `source`. `before` is what was known of the run
  // before the call.
  void OnMigrationReply(const Address& source,
                        const CallReply& reply,
                        RunStop before);
  // The run was stopped, and its stream is still open: closes it if its server
  // does not.
  void AwaitStoppedStreamEnd();
  // Continue the run that its server has stopped: where its KV cache was copied
  // to, or at that server itself.
  void ContinueAtDestination();
  void ContinueAtSource();
  // Ends the attempt, and goes on at `pick` with the KV cache's handle.
  void ContinueRun(const ServerPick& pick);
  // `connection` is null if none could be made.
  void OnContinuationReady(const ServerPick& pick,
                           const ServerConnectionPtr& connection);
  // Whether this node may still send a request to the current attempt's server,
  // which leaves.
  bool SourceTakesRequests(TimePoint now) const;
  // Upper bound on the events that the stream still has to send.
  uint64_t MaxEventsLeft() const;

  // Bytes of the request and its answer that the exchange holds.
  size_t held_size() const;
  // Counts what the exchange holds. Returns false, and ends the attempt, if
  // that is too much.
  bool CheckHeldBytes();

  // Callbacks of the server's connection.
  void OnHead(const HttpHead& head, const AnswerTraits& traits);
  void OnBody(const std::string& bytes);
  void OnEnd(const Result<AnswerEnd>& result);
  // Acts on what the evidence says about the answer. Called whenever there is
  // more of it.
  void ActOnEvidence();
  // A whole answer is passed on.
  void OnWhole();
  // The answer is broken off.
  void OnBroken();
  // The server ended the answer by closing the connection: finds out whether it
  // still lives.
  void ProbeServer();
  // The server goes on after it began this answer.
  void NoteSound();
  // The current attempt, for ProbeAfterDisconnect.
  InterruptedRun CurrentRun() const;

  // Retries. The attempt has stalled if nothing more of the answer arrives
  // within `timeout`.
  void ArmStallTimer(Duration timeout);
  void OnStall();
  // Connects to the server that takes the stalled attempt's place.
  void ConnectReplacement(const ServerPick& pick);
  void OnReplacementReady(const ServerPick& pick,
                          const ServerConnectionPtr& connection,
                          bool still_stalled);
  // Logs the failed attempt and releases its server.
  void EndAttempt(AttemptOutcome outcome, const std::string& reason);
  // The next attempt's answer begins anew, or goes on after the last event.
  void RestartAnswer();
  // Ends the attempt and retries, or else answers with the failure.
  void OnAttemptFailed(AttemptOutcome outcome, const std::string& reason);
  void RecordFirstByte();
  // Ends the attempt: returns the connection and reports how the attempt ended.
  void ReleaseServer(AttemptOutcome outcome);
  bool MayRetry() const;

  // Answers to the caller.
  void ForwardHead(const HttpHead& head, bool chunked, size_t length);
  void ForwardEvents(const std::string& events);
  void ForwardBuffered();
  void AnswerWithError(const Error& error);
  void Abort(const std::string& reason);
  void Finish();
  void LogOutcome(GatewayEvent event, int status, std::string_view reason);
  // Adds the longest gap between two events to the metrics and to the line.
  void ReportEventGap(LogLine& line);

  // Rank of the request, 0 the most urgent: the team's, else the route's.
  int Priority() const;
  bool is_stream() const { return route_->kind == RequestKind::kStream; }
  // Whether the answer is a stream of events that is passed on as it arrives.
  bool streaming_answer() const;
  // Whether the current attempt's answer may follow the head that the caller
  // has received, which may be that of an earlier attempt.
  bool fits_forwarded_head() const;
  Duration TimeLeft(TimePoint now) const;
  // How long the current attempt has taken so far.
  ResponseTime CurrentTime(TimePoint now) const;
  // How long the caller waits for an answer to begin, from when the request was
  // received.
  Duration CallerPatience() const;
  // When an error answer has to leave to reach the caller before its deadline.
  TimePoint AnswerDue() const;
  // Connections that this node may have open to one server: its share of the
  // service's limit over all nodes.
  size_t MaxConnections() const;

  GatewayState& state_;
  CallerRequest request_;
  // What its fields take, in bytes.
  size_t request_fields_memory_;
  TimePoint received_;
  AnswerSink sink_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer stall_timer_;

  // Configuration at the start of the request; owns the three rules below.
  ServiceConfigPtr config_;
  const RouteRule* route_ = nullptr;
  const TeamRule* team_ = nullptr;
  const ServiceRule* service_ = nullptr;
  TimePoint deadline_;
  // Units taken from the team's limit; refunded if no server can have run it.
  double charged_units_ = 0;
  // What the request has in common with others, see CrashTracker.
  RequestFeatures features_;
  // The request is blocked, and is sent once to find out whether it still has
  // to be.
  bool is_trial_ = false;

  // The request as admission decisions see it; nullopt for services whose
  // servers' slots are not known.
  std::optional<AdmissionRequest> admission_;
  WaitQueue::Class admission_class_;
  // Id in the wait queue; zero while the request does not wait there.
  WaitQueue::Id wait_id_ = 0;
  // A server was picked for the request.
  bool admitted_ = false;
  // The request was started from the wait queue and is not sent yet.
  bool starting_ = false;

  // Connection of the current attempt; null between attempts.
  ServerConnectionPtr connection_;
  // The last server that the request was sent to.
  std::optional<ServerPick> pick_;
  // The process of that server, and its address.
  ServerProcess process_;
  Address server_address_;
  TimePoint attempt_started_;
  // The last attempt as its service's rollout knows it.
  std::optional<RolloutAttempt> rollout_attempt_;
  // From the start of the attempt to the first complete event of a stream, or
  // the head of any other answer.
  std::optional<Duration> time_to_first_byte_;
  // CrashTracker knows that the current attempt's server goes on.
  bool sound_noted_ = false;
  // How the current attempt's answer has ended, if it has.
  AnswerEvidence evidence_;
  // Why it is not whole, for the log.
  std::string end_reason_;
  // Rises with each attempt, and when one ends: replies that were meant for an
  // earlier one are ignored.
  uint64_t attempt_number_ = 0;
  // Servers that the request was sent to, or that were found unreachable or
  // leaving.
  std::set<ServerId> tried_servers_;
  // Requests sent, without those that reached another server at the address.
  uint32_t attempts_ = 0;
  uint32_t connect_failures_ = 0;
  // Whether a server may have started to execute the request.
  bool may_have_run_ = false;
  // The retry budget has granted the next retry.
  bool has_retry_permit_ = false;
  // The server for which a permit was taken before the send itself.
  std::optional<ServerId> permitted_server_;
  // A connection to the server that is to replace a stalled one is being made.
  bool connecting_replacement_ = false;
  // Whether the request counts in the team's usage; it is counted once.
  bool usage_counted_ = false;

  // Server that the stream migrates to, from the call to the source until the
  // stream goes on.
  std::optional<ServerPick> destination_;
  // Handle of the stopped run's KV cache; empty for none.
  std::string migrated_kv_handle_;
  // When the current attempt's server is reclaimed, and when this node learned
  // that it leaves; nullopt without a notice.
  struct Notice {
    TimePoint leaves_at;
    TimePoint received;
  };
  std::optional<Notice> notice_;
  boost::asio::steady_timer migration_timer_;

  // Head of the current attempt's answer, and the part of its body that is not
  // forwarded yet.
  HttpHead answer_head_;
  bool has_answer_head_ = false;
  std::string buffered_body_;
  EventSplitter event_splitter_;
  EventGaps event_gaps_;
  // The request's body and what is held of the answer.
  HeldBytes held_;
  // The head of the answer has been written to the caller.
  bool forwarding_ = false;
  HttpHead forwarded_head_;
  bool finished_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_EXCHANGE_H_
