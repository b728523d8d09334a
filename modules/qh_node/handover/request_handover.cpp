#include "qh_node/handover/request_handover.h"

#include "qh_core/log/log_line.h"

namespace qh {
namespace {

constexpr size_t kMaxAcceptedRequests = 512;
// Short, because a reclaim notice may leave only three seconds for all
// requests.
constexpr Duration kHandoverTimeout = std::chrono::milliseconds(700);
constexpr Duration kResultTimeout = std::chrono::seconds(2);

std::string RequestUrl(const Member& peer, const RequestId& id) {
  return "http://" + peer.callers.ToString() + "/v1/requests/" + id.value();
}

}  // namespace

RequestHandover::RequestHandover(PeerClient& client,
                                 RequestTable& table,
                                 HandoverHooks hooks)
    : client_(client),
      table_(table),
      hooks_(std::move(hooks)),
      pool_(kMaxAcceptedRequests) {}

Result<void> RequestHandover::HandOver(RequestRecord& record) {
  auto tokens = record.Freeze();
  if (!tokens) {
    return Ok();
  }
  HandoverRecord handover;
  handover.spec = record.spec();
  handover.payload = EncodePayload(record.payload());
  handover.progress.tokens_sent = static_cast<uint32_t>(tokens->size());
  handover.tokens = std::move(*tokens);
  // A non-idempotent call must not run twice, so it continues on this node.
  handover.running = !record.spec().idempotent;
  const std::string body = handover.Encode(MonotonicNow());
  for (const Member& peer : hooks_.peers(record)) {
    const auto reply = client_.Call(peer.peers, {PeerCallKind::kHandover, body},
                                    kHandoverTimeout);
    if (!reply) {
      LogLine("handover_refused")
          .With("request", record.spec().id.value())
          .With(reply.error())
          .Warning();
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      new_owners_[record.spec().id] = peer.peers;
    }
    record.MarkHandedOver(RequestUrl(peer, record.spec().id));
    LogLine("request_moved")
        .With("request", record.spec().id.value())
        .With("peer", peer.id.value())
        .Info();
    return Ok();
  }
  record.Unfreeze();
  return Error(ErrorKind::kPeerUnreachable, "no peer took the request over");
}

void RequestHandover::ReportResult(const RequestRecord& record,
                                   const Result<CompleteAnswer>& result) {
  if (record.spec().idempotent) {
    return;  // The peer runs the request itself.
  }
  Address new_owner;
  {
    const std::lock_guard lock(mutex_);
    new_owner = new_owners_[record.spec().id];
  }
  const HandoverResult message{record.spec().id, result};
  const auto reply =
      client_.Call(new_owner, {PeerCallKind::kHandoverResult, message.Encode()},
                   kResultTimeout);
  if (!reply) {
    LogLine("handover_result_lost")
        .With("request", record.spec().id.value())
        .With(reply.error())
        .Warning();
  }
}

Result<void> RequestHandover::Accept(const std::string& body) {
  if (!hooks_.accepting()) {
    return Error(ErrorKind::kDraining, "no requests are taken over");
  }
  BOOST_OUTCOME_TRY(handover, HandoverRecord::Decode(body, MonotonicNow()));
  BOOST_OUTCOME_TRY(payload, DecodePayload(handover.payload));
  if (table_.Find(handover.spec.id)) {
    return Ok();
  }
  auto record = std::make_shared<RequestRecord>(
      handover.spec, std::move(payload), std::move(handover.tokens),
      std::move(handover.progress));
  table_.Add(record);
  pool_.Run([this, record, running = handover.running] {
    if (running) {
      AwaitResult(*record);
    } else {
      hooks_.run(*record);
    }
    table_.MarkEnded(record->spec().id);
  });
  return Ok();
}

void RequestHandover::AwaitResult(RequestRecord& record) const {
  const Duration remaining = record.spec().deadline - MonotonicNow();
  record.WaitEndFor(std::max(remaining, Duration::zero()));
  // Has no effect if the result has been received.
  record.Refuse(Error(ErrorKind::kOutcomeUnknown,
                      "the instance that ran the call left before its result"));
}

Result<void> RequestHandover::ReceiveResult(const std::string& body) {
  BOOST_OUTCOME_TRY(message, HandoverResult::Decode(body));
  const RequestRecordPtr record = table_.Find(message.id);
  if (!record) {
    return Error(ErrorKind::kUnknownRequest, message.id.value());
  }
  if (message.result) {
    record->Finish(message.result.value());
  } else {
    record->Refuse(message.result.error());
  }
  return Ok();
}

}  // namespace qh
