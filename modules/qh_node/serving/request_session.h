// One run of one request: reports network events to its RequestMachine and
// executes the machine's actions.

#ifndef QH_NODE_SERVING_REQUEST_SESSION_H_
#define QH_NODE_SERVING_REQUEST_SESSION_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "qh_node/serving/request_runner.h"
#include "qh_requests/request_machine.h"

namespace qh {

class RequestSession {
 public:
  // Both must outlive the session.
  RequestSession(RunnerDependencies& dependencies, RequestRecord& record);

  // Runs the request. Returns when the record has ended.
  void Run();

 private:
  // Starts the machine. Refuses a request that exceeds its team's limit.
  void Begin();
  // Gives `event` to the machine and queues the resulting actions.
  void Feed(RequestEvent event);
  void Execute(const RequestAction& action);
  void Finish();
  void Refuse(ErrorKind kind);
  void Claim();

  void ChooseServer();
  // Picks a server by routing, within the retry budget. The request then counts
  // as in flight on that server.
  Result<RouteChoice> PickServer();
  // Excludes servers on which other nodes run suspect content, unless no server
  // would be left.
  void ExcludeSuspectServers();
  // Gets the quarantine's permission for the choice. Returns the server to run
  // on, which may be another one.
  Result<BackendServer> AdmitToServer(const RouteChoice& choice);
  // Returns the servers of the request's pool or route, or null if `config` has
  // none.
  const std::vector<BackendServer>* ConfiguredServers(
      const Configuration& config) const;

  void Dispatch();
  BackendCall MakeCall() const;
  BackendCallOutcome DispatchChat();
  BackendCallOutcome DispatchService();
  // Adds a token of the engine to the record. Returns false if the record has
  // ended.
  bool ForwardToken(const std::string& token);
  void FinishChat();
  // Reports a call without a complete answer to the machine.
  void FeedFailure(BackendCallOutcome outcome);
  // Probes the server and reports it to the quarantine as dead if it doesn't
  // accept a connection.
  void ReportIfServerDied();
  // Refunds the tokens of the team's limit that the request did not use.
  void ReturnUnusedTokens();

  RunnerDependencies& deps_;
  RequestRecord& record_;
  const TimePoint start_time_;
  RouteQuery query_;
  RequestMachine machine_;
  std::deque<RequestAction> actions_;
  // Generation of the last dispatch.
  uint32_t generation_ = 0;
  // Server of the last choice.
  BackendServer server_;
  CompleteAnswer answer_;
  // Last failure; source of the detail and the Retry-After of a refusal.
  Error failure_;
  // Tokens taken from the team's limit.
  double team_tokens_ = 0;
  // How the request ended on this node. Empty while it runs, and if a peer
  // continues it.
  std::optional<Result<CompleteAnswer>> result_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_REQUEST_SESSION_H_
