// The part of Exchange that answers its caller, and its end.

#include "qh_gateway/forwarding/answer_serialization.h"
#include "qh_gateway/forwarding/exchange.h"

namespace qh {

void Exchange::PassHead(const HttpHead& head, bool chunked, size_t length) {
  passing_ = true;
  const bool keep = request_.keep_alive && !state_.draining_since;
  caller_.write(
      SerializeAnswerHead(head, request_.minor_version, keep, chunked, length),
      false);
}

void Exchange::PassEvents(const std::string& events) {
  if (!passing_) {
    PassHead(head_, true, 0);
  }
  if (!events.empty()) {
    caller_.write(EncodeChunk(events, request_.minor_version), false);
  }
}

void Exchange::PassBuffered() {
  PassHead(head_, false, buffered_.size());
  caller_.write(std::move(buffered_), true);
  LogEnd(IsServerError(head_.status) ? GatewayEvent::kRequestFailed
                                     : GatewayEvent::kRequestServed,
         head_.status, "answered");
  Finish();
}

void Exchange::Answer(const Error& error) {
  if (passing_) {
    Cut(error.detail());
    return;
  }
  const ErrorAnswer& row = AnswerFor(error.kind());
  Error shown = error;
  // Only a request that no server can have run may be called refused.
  if (row.executed == Executed::kNo && may_have_run_) {
    shown = Error(ErrorKind::kServerFailed, error.detail());
  }
  const bool keep = request_.keep_alive && !state_.draining_since;
  caller_.write(SerializeErrorAnswer(
                    shown, state_.codec.own_answer_fields(request_.id), keep),
                true);
  const ErrorAnswer& sent = AnswerFor(shown.kind());
  LogEnd(sent.executed == Executed::kNo ? GatewayEvent::kRequestRefused
                                        : GatewayEvent::kRequestFailed,
         sent.status, shown.detail());
  Finish();
}

void Exchange::Cut(const std::string& why) {
  LogEnd(GatewayEvent::kRequestFailed, 0, why);
  caller_.cut();
  Finish();
}

void Exchange::OnCallerGone() {
  if (finished_) {
    return;
  }
  if (connection_ != nullptr) {
    connection_->Close();
    ReleaseServer(AttemptOutcome::kAbandoned);
  }
  LogEnd(GatewayEvent::kRequestAbandoned, 0, "caller left");
  Finish();
}

void Exchange::SetCongested(bool congested) {
  if (connection_ != nullptr) {
    connection_->SetPaused(congested);
  }
}

void Exchange::Finish() {
  if (std::exchange(finished_, true)) {
    return;
  }
  --state_.open_requests;
  if (!may_have_run_ && team_ != nullptr && units_ > 0) {
    state_.team_budget.Refund(team_->id, units_, received_, MonotonicNow());
  }
  deadline_timer_.cancel();
  watchdog_.cancel();
  move_timer_.cancel();
  destination_.reset();
  caller_ = {};
}

void Exchange::LogEnd(GatewayEvent event, int status, std::string_view reason) {
  const TimePoint now = MonotonicNow();
  const std::string route = route_ == nullptr ? "none" : route_->name;
  const std::string team = team_ == nullptr ? "" : team_->id.value();
  const std::string_view name = ToName(event);
  state_.metrics.Count({.name = "gateway_requests_total",
                        .team = team,
                        .request_class = route,
                        .reason = std::string(name)});
  const double total_ms = ToMilliseconds(now - received_);
  if (event == GatewayEvent::kRequestServed) {
    state_.metrics.Observe(
        {.name = "gateway_request_ms", .team = team, .request_class = route},
        total_ms);
    if (first_part_) {
      state_.metrics.Observe(
          {.name = "gateway_first_part_ms",
           .team = team,
           .request_class = route},
          ToMilliseconds(sent_at_ + *first_part_ - received_));
    }
  }
  LogLine line(name);
  line.With("request", request_.id)
      .With("team", team.empty() ? "none" : team)
      .With("route", route)
      .With("status", status)
      .With("reason", reason)
      .With("sends", sends_)
      .With("total_ms", total_ms)
      .With("config", config_ == nullptr ? 0 : config_->version());
  if (pick_) {
    line.With("server", pick_->server.value())
        .With("expected_ms", ToMilliseconds(pick_->expected_ttfb))
        .With("open_there", pick_->outstanding.requests)
        .With("unread_tokens", pick_->prefill_tokens);
  }
  if (first_part_) {
    line.With("first_part_ms", ToMilliseconds(*first_part_));
  }
  if (state_.servers_confirmed_at) {
    line.With("servers_age_ms",
              ToMilliseconds(now - *state_.servers_confirmed_at));
  }
  state_.log.Write(line, event);
}

}  // namespace qh
