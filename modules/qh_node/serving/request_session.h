// One run of one request: feeds its RequestMachine with what happens on the
// wire and carries out the machine's actions.

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
  RequestSession(RunnerParts& parts, RequestRecord& record);

  // Returns when the record ended.
  void Run();

 private:
  // Begins the machine; refuses a request that its team's limit doesn't allow.
  void Begin();
  void Feed(RequestEvent event);
  void Carry(const RequestAction& action);
  void Finish();
  void Refuse(ErrorKind kind);
  void Claim();

  void Choose();
  // Picks a server; the request is then in flight on it.
  Result<RouteChoice> PickServer();
  // Goes past servers on which other nodes run suspects, while others are left.
  void ExcludeSuspectServers();
  // Asks the quarantine; the server may change.
  Result<BackendServer> AdmitToServer(const RouteChoice& choice);
  const std::vector<BackendServer>* ConfiguredServers(
      const Configuration& config) const;

  void Dispatch();
  BackendCall MakeCall() const;
  CallEnd DispatchChat();
  CallEnd DispatchService();
  bool AddToken(const std::string& token);
  void FinishChat();
  // Feeds the end of a call that brought no whole answer.
  void FeedFailure(CallEnd end);
  // Tells the quarantine when the server's process is gone.
  void CheckServerDeath();
  void ReturnUnusedTokens();

  RunnerParts& parts_;
  RequestRecord& record_;
  const TimePoint started_;
  RouteQuery query_;
  RequestMachine machine_;
  std::deque<RequestAction> actions_;
  // Of the last dispatch.
  uint32_t generation_ = 0;
  // Server of the last choice.
  BackendServer server_;
  WholeAnswer answer_;
  // Last failure; gives the detail and the retry time of a refusal.
  Error failure_;
  // Tokens taken out of the team's limit.
  double team_tokens_ = 0;
  // How the request ended here; nothing while it runs or when it moved on.
  std::optional<Result<WholeAnswer>> result_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_REQUEST_SESSION_H_
