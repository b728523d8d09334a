#include "qh_requests/handover/handover_record.h"

#include <algorithm>

#include "qh_requests/wire/field_map.h"

namespace qh {
namespace {

constexpr uint64_t kMaxRest = 24ull * 3600 * 1'000'000;

std::vector<std::string> NamesOf(const std::vector<ServerId>& servers) {
  std::vector<std::string> names;
  for (const ServerId& server : servers) {
    names.push_back(server.value());
  }
  return names;
}

}  // namespace

HandoverRecord HandoverRecord::FromMachine(const RequestMachine& machine,
                                           std::string payload,
                                           std::vector<std::string> tokens) {
  return {.spec = machine.spec(),
          .payload = std::move(payload),
          .tokens = std::move(tokens),
          .progress = machine.progress(),
          .running = machine.state() == RequestState::kRelaying};
}

RequestMachine HandoverRecord::Restore(uint32_t max_attempts) const {
  return RequestMachine::Restore(spec, max_attempts, progress);
}

RequestEvent HandoverRecord::resume_event() const {
  if (running) {
    return {.kind = RequestEventKind::kRestoreAwaiting};
  }
  if (spec.idempotent || progress.claim_held) {
    return {.kind = RequestEventKind::kRestoreChoosing};
  }
  return {.kind = RequestEventKind::kRestoreClaiming};
}

std::string HandoverRecord::Encode(TimePoint now) const {
  const Duration rest = std::max(spec.deadline - now, Duration::zero());
  return FieldMap()
      .Set("id", spec.id.value())
      .Set("team", spec.team.value())
      .Set("class", std::string(ToName(spec.request_class)))
      .Set("idempotent", spec.idempotent ? 1 : 0)
      .Set("stream", spec.stream ? 1 : 0)
      .Set("key", spec.idempotency_key)
      .Set("print", spec.fingerprint)
      .Set("prompt", spec.prompt_tokens)
      .Set("max", spec.max_output_tokens)
      .Set("rest", static_cast<uint64_t>(rest.count()))
      .Set("payload", payload)
      .Set("tokens", tokens)
      .Set("sent", progress.tokens_sent)
      .Set("attempts", progress.attempts)
      .Set("failed", NamesOf(progress.failed_servers))
      .Set("claimed", progress.claim_held ? 1 : 0)
      .Set("maybe", progress.maybe_sent ? 1 : 0)
      .Set("running", running ? 1 : 0)
      .Encode();
}

Result<HandoverRecord> HandoverRecord::Decode(std::string_view bytes,
                                              TimePoint now) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(id, fields.RequiredText("id"));
  const auto number = [&](const char* name) {
    return static_cast<uint32_t>(fields.Number(name));
  };
  const uint64_t rest = std::min(fields.Number("rest"), kMaxRest);
  HandoverRecord record;
  record.spec = {.id = RequestId(id),
                 .team = TeamId(fields.Text("team")),
                 .request_class = FromName<RequestClass>(fields.Text("class"))
                                      .value_or(RequestClass::kInteractive),
                 .idempotent = fields.Number("idempotent") != 0,
                 .stream = fields.Number("stream") != 0,
                 .idempotency_key = fields.Text("key"),
                 .fingerprint = fields.Text("print"),
                 .prompt_tokens = number("prompt"),
                 .max_output_tokens = number("max"),
                 .deadline = now + Duration(static_cast<int64_t>(rest))};
  record.payload = fields.Text("payload");
  record.tokens = fields.List("tokens");
  record.progress = {.tokens_sent = number("sent"),
                     .attempts = number("attempts"),
                     .claim_held = fields.Number("claimed") != 0,
                     .maybe_sent = fields.Number("maybe") != 0};
  for (const std::string& server : fields.List("failed")) {
    record.progress.failed_servers.push_back(ServerId(server));
  }
  record.running = fields.Number("running") != 0;
  return record;
}

}  // namespace qh
