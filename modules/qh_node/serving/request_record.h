// State of one accepted request on a node: the request itself, the answer so
// far and how the request ended. The runner writes the record. The threads that
// serve callers read it, including those of callers that reconnect after a
// moved event.

#ifndef QH_NODE_SERVING_REQUEST_RECORD_H_
#define QH_NODE_SERVING_REQUEST_RECORD_H_

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"
#include "qh_requests/request_machine.h"

namespace qh {

enum class RecordState { kRunning, kAnswered, kRefused, kHandedOver };

template <>
inline constexpr EnumName<RecordState> kEnumNames<RecordState>[] = {
    {RecordState::kRunning, "running"},
    {RecordState::kAnswered, "answered"},
    {RecordState::kRefused, "refused"},
    {RecordState::kHandedOver, "moved"},
};

// The caller's request as received.
struct RequestPayload {
  // Chat requests only.
  std::string model;
  std::vector<uint64_t> prefix_blocks;
  // Service calls only.
  RouteId route;
  std::string method;
  // Path below the route, with query, starting with '/'.
  std::string path;
  std::string content_type;
  std::string body;
};

// An answer that is not streamed.
struct CompleteAnswer {
  int status = 200;
  std::string content_type;
  std::string body;
};

// Thread safe.
class RequestRecord {
 public:
  RequestRecord(RequestSpec spec, RequestPayload payload);
  // For a request handed over by a peer, with the tokens and the progress that
  // it had there.
  RequestRecord(RequestSpec spec,
                RequestPayload payload,
                std::vector<std::string> tokens,
                RequestProgress progress);

  const RequestSpec& spec() const { return spec_; }
  const RequestPayload& payload() const { return payload_; }
  // Progress at the peer that handed the request over. Empty if the request
  // started on this node.
  const std::optional<RequestProgress>& peer_progress() const {
    return peer_progress_;
  }
  bool is_chat() const { return payload_.route.empty(); }

  // Appends one token of a chat answer. Blocks while the record is frozen. If
  // the record has ended, drops the token and returns false.
  bool AddToken(std::string token);
  // End the record. Only the first call that ends it has an effect.
  void Finish(CompleteAnswer answer);
  void Refuse(Error error);

  // Blocks AddToken until MarkHandedOver or Unfreeze and returns the tokens so
  // far, so that a peer can resume right after them. Returns nothing if the
  // record has ended.
  std::optional<std::vector<std::string>> Freeze();
  void Unfreeze();
  // Ends the record because a peer continues the request. Callers find it at
  // the URL `location`.
  void MarkHandedOver(std::string location);

  // Blocks until there are more than `known` tokens, the record has ended or
  // `timeout` has passed. Returns the tokens after the first `known`.
  std::vector<std::string> WaitTokens(size_t known, Duration timeout);
  // Blocks until there is a token or the record has ended.
  void WaitStarted();
  // Blocks until the record has ended. Returns its final state.
  RecordState WaitEnd();
  // Blocks until the record has ended, but no longer than `timeout`.
  void WaitEndFor(Duration timeout);

  RecordState state() const;
  std::vector<std::string> tokens() const;
  // Valid in the states kAnswered, kRefused and kHandedOver, in this order.
  CompleteAnswer answer() const;
  Error error() const;
  std::string location() const;

 private:
  // Called with mutex_ held.
  void End(RecordState state);

  const RequestSpec spec_;
  const RequestPayload payload_;
  const std::optional<RequestProgress> peer_progress_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // All below are guarded by mutex_. state_ changes once, from kRunning to one
  // of the final states.
  RecordState state_ = RecordState::kRunning;
  // tokens_ doesn't change while frozen_ is true.
  bool frozen_ = false;
  std::vector<std::string> tokens_;
  CompleteAnswer answer_;
  Error error_;
  std::string location_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_REQUEST_RECORD_H_
