// One request of a caller, from its reading to its final answer: checks it,
// sends it to a server, passes the answer on, and decides what to do when a
// server fails it. A request that may run only once is sent at most once unless
// the server says that it did not run it.

#ifndef QH_GATEWAY_FORWARDING_EXCHANGE_H_
#define QH_GATEWAY_FORWARDING_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "qh_gateway/decisions/event_splitter.h"
#include "qh_gateway/forwarding/gateway_state.h"
#include "qh_gateway/forwarding/server_connection.h"

namespace qh {

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // Where the answer goes.
  struct Caller {
    // Bytes of the answer; `last` ends it.
    std::function<void(std::string bytes, bool last)> write;
    // The answer can't be completed: the connection must end visibly.
    std::function<void()> cut;
  };

  static std::shared_ptr<Exchange> Create(GatewayState& state,
                                          CallerRequest request,
                                          TimePoint received,
                                          Caller caller);

  void Start();
  // The caller has left; the work at the server is stopped.
  void OnCallerGone();
  // The caller reads slowly, or has caught up.
  void SetCongested(bool congested);

 private:
  using HeadFields = std::vector<HttpField>;

  Exchange(GatewayState& state,
           CallerRequest request,
           TimePoint received,
           Caller caller);

  // Checks; each may end the exchange with a refusal.
  bool FindRoute();
  bool CheckTeam();
  bool CheckContent();
  bool TakeUnits();

  void TrySend();
  void OnConnection(const ServerPick& pick,
                    const ServerConnectionPtr& connection);
  void Send(const ServerPick& pick, const ServerConnectionPtr& connection);
  void ArmWatchdog(Duration limit);
  void OnWatchdog();
  void OnDeadline();

  // Moving the run off a server that will be taken away.
  void OnServerLeaving(Duration leaves_in);
  void ConsiderMove(TimePoint leaves_at);
  void StartMove(const ServerPick& destination);
  void OnMoveReply(const CallReply& reply);
  void ContinueMoved();
  uint64_t EventsLeft() const;

  void OnHead(const HttpHead& head, const AnswerTraits& traits);
  void OnBody(const std::string& bytes);
  void OnEnd(const Result<void>& result);
  void OnAttemptEnded(AttemptOutcome end, const std::string& why);
  void NotePartRead();
  void ReleaseServer(AttemptOutcome end);
  bool MaySendAgain() const;

  // Answers to the caller.
  void PassHead(const HttpHead& head, bool chunked, size_t length);
  void PassEvents(const std::string& events);
  void PassBuffered();
  void Answer(const Error& error);
  void Cut(const std::string& why);
  void Finish();
  void LogEnd(GatewayEvent event, int status, std::string_view reason);

  bool is_stream() const { return route_->kind == RequestKind::kStream; }
  bool streaming_answer() const;
  Duration TimeLeft(TimePoint now) const;
  // Connections that this node may have open to one server.
  size_t MostConnections() const;

  GatewayState& state_;
  CallerRequest request_;
  TimePoint received_;
  Caller caller_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer watchdog_;

  // Kept alive for route_ and team_.
  ServiceConfigPtr config_;
  const RouteRule* route_ = nullptr;
  const TeamRule* team_ = nullptr;
  const ServiceRule* service_ = nullptr;
  TimePoint ends_at_;
  double units_ = 0;
  uint64_t content_ = 0;

  ServerConnectionPtr connection_;
  std::optional<ServerPick> pick_;
  TimePoint sent_at_;
  std::optional<Duration> first_part_;
  std::set<ServerId> tried_;
  uint32_t sends_ = 0;
  uint32_t connect_failures_ = 0;
  // A server may have begun to run it.
  bool may_have_run_ = false;
  bool counted_ = false;

  // Where the run goes on; set from the asking until it was sent there.
  std::optional<ServerPick> destination_;
  // Names the moved memory once the move is done.
  std::string moved_run_;
  bool move_answered_ = false;
  // The stream at the source has ended while the move is under way.
  bool source_ended_ = false;
  boost::asio::steady_timer move_timer_;

  // The present answer's head; its body as far as it is not passed on.
  HttpHead head_;
  bool has_head_ = false;
  std::string buffered_;
  EventSplitter events_;
  bool passing_ = false;
  bool finished_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_EXCHANGE_H_
