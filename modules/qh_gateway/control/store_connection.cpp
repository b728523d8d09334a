#include "qh_gateway/control/store_connection.h"

#include "qh_core/log/log_line.h"

namespace qh {

StoreConnection::StoreConnection(boost::asio::io_context& io,
                                 const Address& store,
                                 const StoreProtocol& protocol,
                                 StoreEpoch& epoch,
                                 std::shared_ptr<ByteBudget> budget)
    : client_(HttpClient::Create(io, store, std::move(budget))),
      protocol_(protocol),
      epoch_(epoch) {}

StoreConnection::~StoreConnection() {
  client_->Stop();
}

void StoreConnection::Send(HttpCall call,
                           Duration timeout,
                           HttpClient::Hook on_reply) {
  client_->Send(std::move(call), timeout,
                [this, generation = generation_,
                 on_reply = std::move(on_reply)](const CallReply& reply) {
                  const CallReply checked = CheckEpoch(reply);
                  if (generation == generation_) {
                    on_reply(checked);
                  }
                });
}

void StoreConnection::Reset() {
  ++generation_;
  client_->Stop();
}

CallReply StoreConnection::CheckEpoch(const CallReply& reply) {
  if (reply.outcome != HttpCallOutcome::kAnswered) {
    return reply;
  }
  const auto epoch = protocol_.read_epoch(reply);
  if (!epoch) {
    LogLine("store_answer_ignored").With(epoch.error()).Warning();
    return {.outcome = HttpCallOutcome::kNoAnswer};
  }
  if (!epoch.value()) {
    return reply;
  }
  if (epoch_.Observe(*epoch.value()) == EpochVerdict::kOutdated) {
    LogLine("store_answer_ignored")
        .With("epoch", *epoch.value())
        .With("current_epoch", epoch_.current())
        .Warning();
    return {.outcome = HttpCallOutcome::kNoAnswer};
  }
  return reply;
}

}  // namespace qh
