// The part of Exchange that writes the answer to the caller, ends the exchange
// and logs its outcome.

#include "qh_gateway/forwarding/answer_serialization.h"
#include "qh_gateway/forwarding/exchange.h"

namespace qh {
namespace {

// Adds how old this node's copy of `kind` is, and which process the store
// confirmed it to.
void AddStateAge(LogLine& line,
                 const StateFreshness& freshness,
                 StateKind kind) {
  const auto& last = freshness.Last(kind);
  if (!last) {
    return;
  }
  const std::string name(ToName(kind));
  line.With(name + "_age_ms", ToMilliseconds(BootNow() - last->at))
      .With(name + "_confirmed_by", last->origin);
}

}  // namespace

void Exchange::ForwardHead(const HttpHead& head, bool chunked, size_t length) {
  forwarding_ = true;
  forwarded_head_ = head;
  sink_.write(SerializeAnswerHead(head, request_.minor_version,
                                  sink_.begin_answer(), chunked, length),
              false);
}

void Exchange::ForwardEvents(const std::string& events) {
  if (!forwarding_) {
    ForwardHead(answer_head_, true, 0);
  }
  if (!events.empty()) {
    sink_.write(EncodeChunk(events, request_.minor_version), false);
  }
}

void Exchange::ForwardBuffered() {
  ForwardHead(answer_head_, false, buffered_body_.size());
  sink_.write(std::move(buffered_body_), true);
  LogOutcome(IsServerError(answer_head_.status) ? GatewayEvent::kRequestFailed
                                                : GatewayEvent::kRequestServed,
             answer_head_.status, "answered");
  Finish();
}

void Exchange::AnswerWithError(const Error& error) {
  if (forwarding_) {
    Abort(error.detail());
    return;
  }
  const ErrorAnswer& answer = AnswerFor(error.kind());
  Error reported = error;
  // Only a request that no server can have executed is reported as refused.
  if (answer.executed == Executed::kNo && may_have_run_) {
    reported = Error(ErrorKind::kServerFailed, error.detail());
  }
  sink_.write(SerializeErrorAnswer(reported,
                                   state_.codec.own_answer_fields(request_.id),
                                   sink_.begin_answer()),
              true);
  const ErrorAnswer& reported_answer = AnswerFor(reported.kind());
  if (reported_answer.executed == Executed::kNo) {
    RememberRefusal(reported);
  }
  LogOutcome(reported_answer.executed == Executed::kNo
                 ? GatewayEvent::kRequestRefused
                 : GatewayEvent::kRequestFailed,
             reported_answer.status, reported.detail());
  Finish();
}

void Exchange::Abort(const std::string& reason) {
  LogOutcome(GatewayEvent::kRequestFailed, 0, reason);
  sink_.abort();
  Finish();
}

void Exchange::OnCallerDisconnected(const std::string& reason) {
  if (finished_) {
    return;
  }
  if (connection_ != nullptr) {
    connection_->Close();
    ReleaseServer(AttemptOutcome::kAbandoned);
  }
  LogOutcome(GatewayEvent::kRequestAbandoned, 0, reason);
  Finish();
}

void Exchange::SetBackpressure(bool active) {
  if (connection_ != nullptr) {
    connection_->SetReadPaused(active);
  }
}

void Exchange::Finish() {
  if (std::exchange(finished_, true)) {
    return;
  }
  LeaveQueue(MonotonicNow());
  --state_.open_requests;
  state_.stop_listeners.erase(this);
  if (!may_have_run_ && team_ != nullptr && charged_units_ > 0) {
    state_.team_rate_limiter.Refund(team_->id, charged_units_, received_,
                                    MonotonicNow(), Priority());
  }
  deadline_timer_.cancel();
  stall_timer_.cancel();
  migration_timer_.cancel();
  destination_.reset();
  sink_ = {};
  request_.body = {};
  buffered_body_ = {};
  held_.Set(0);
}

void Exchange::ReportEventGap(LogLine& line) {
  const auto gap = event_gaps_.Longest(MonotonicNow());
  if (!gap) {
    return;
  }
  state_.metrics.Observe(
      {.name = "gateway_longest_event_gap_ms", .request_class = route_->name},
      ToMilliseconds(*gap));
  if (*gap > route_->event_gap_target) {
    state_.metrics.Count({.name = "gateway_late_gap_streams_total",
                          .request_class = route_->name});
  }
  line.With("longest_gap_ms", ToMilliseconds(*gap));
}

void Exchange::LogOutcome(GatewayEvent event,
                          int status,
                          std::string_view reason) {
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
    if (time_to_first_byte_) {
      state_.metrics.Observe(
          {.name = "gateway_first_part_ms",
           .team = team,
           .request_class = route},
          ToMilliseconds(attempt_started_ + *time_to_first_byte_ - received_));
    }
  }
  LogLine line(name);
  line.With("request", request_.id)
      .With("team", team.empty() ? "none" : team)
      .With("route", route)
      .With("status", status)
      .With("reason", reason)
      .With("sends", attempts_)
      .With("total_ms", total_ms)
      .With("config", config_ == nullptr ? 0 : config_->version());
  if (pick_) {
    line.With("server", pick_->server.value())
        .With("expected_ms", ToMilliseconds(pick_->expected_ttfb))
        .With("open_there", pick_->outstanding.requests)
        .With("unread_tokens", pick_->prefill_tokens)
        .With("unread_there", pick_->outstanding.prefill_tokens)
        .With("kv_there", pick_->outstanding.kv_tokens)
        .With("speed", pick_->speed)
        .With("expected_gap_ms", ToMilliseconds(pick_->expected_gap));
  }
  if (time_to_first_byte_) {
    line.With("first_part_ms", ToMilliseconds(*time_to_first_byte_));
  }
  ReportEventGap(line);
  AddStateAge(line, state_.freshness, StateKind::kConfig);
  AddStateAge(line, state_.freshness, StateKind::kServers);
  state_.log.Write(line, event);
}

}  // namespace qh
