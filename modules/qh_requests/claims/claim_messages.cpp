#include "qh_requests/claims/claim_messages.h"

#include "qh_core/hash/hash.h"
#include "qh_requests/wire/field_map.h"

namespace qh {
namespace {

uint64_t Microseconds(Duration duration) {
  return duration.count() < 0 ? 0 : static_cast<uint64_t>(duration.count());
}

Duration DurationOf(uint64_t microseconds) {
  constexpr uint64_t kLongest = 366ull * 24 * 3600 * 1'000'000;
  return Duration(static_cast<int64_t>(std::min(microseconds, kLongest)));
}

void SetAnswer(FieldMap& fields, const StoredAnswer& answer) {
  fields.Set("status", answer.status)
      .Set("type", answer.content_type)
      .Set("body", answer.body);
}

StoredAnswer AnswerOf(const FieldMap& fields) {
  return {static_cast<uint32_t>(fields.Number("status")), fields.Text("type"),
          fields.Text("body")};
}

std::optional<ErrorKind> ErrorNamed(std::string_view name) {
  for (const ErrorAnswer& row : AnswerTable()) {
    if (row.name == name) {
      return row.kind;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string ClaimKey(const TeamId& team, std::string_view idempotency_key) {
  std::string joined = team.value();
  joined += '\0';
  joined += idempotency_key;
  return HashHex128(joined);
}

uint32_t ClaimPartition(std::string_view claim_key) {
  return static_cast<uint32_t>(Hash64(claim_key) % kClaimPartitions);
}

InstanceId ClaimOwner(uint32_t partition,
                      const std::vector<InstanceId>& members) {
  InstanceId owner;
  uint64_t largest = 0;
  for (const InstanceId& member : members) {
    const uint64_t weight = RendezvousWeight(partition, member.value());
    if (owner.empty() || weight > largest) {
      owner = member;
      largest = weight;
    }
  }
  return owner;
}

std::string ClaimRequest::Encode() const {
  return FieldMap()
      .Set("key", key)
      .Set("print", fingerprint)
      .Set("ask", request_id.value())
      .Set("by", claimant.value())
      .Set("wait", Microseconds(wait))
      .Set("run", Microseconds(run_time))
      .Encode();
}

Result<ClaimRequest> ClaimRequest::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  ClaimRequest message;
  BOOST_OUTCOME_TRY(key, fields.RequiredText("key"));
  BOOST_OUTCOME_TRY(request_id, fields.RequiredText("ask"));
  message.key = key;
  message.request_id = RequestId(request_id);
  message.fingerprint = fields.Text("print");
  message.claimant = InstanceId(fields.Text("by"));
  message.wait = DurationOf(fields.Number("wait"));
  message.run_time = DurationOf(fields.Number("run"));
  return message;
}

std::string OutcomeReport::Encode() const {
  FieldMap fields;
  fields.Set("key", key)
      .Set("print", fingerprint)
      .Set("ask", request_id.value())
      .Set("kind", std::string(ToName(kind)));
  SetAnswer(fields, answer);
  return fields.Encode();
}

Result<OutcomeReport> OutcomeReport::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(key, fields.RequiredText("key"));
  BOOST_OUTCOME_TRY(request_id, fields.RequiredText("ask"));
  OutcomeReport message;
  message.key = key;
  message.request_id = RequestId(request_id);
  message.fingerprint = fields.Text("print");
  // A kind of a newer version frees nothing.
  message.kind = FromName<OutcomeKind>(fields.Text("kind"))
                     .value_or(OutcomeKind::kUnknown);
  message.answer = AnswerOf(fields);
  return message;
}

std::string ClaimAnswer::Encode() const {
  FieldMap fields;
  fields.Set("ask", request_id.value())
      .Set("decision", std::string(ToName(decision)))
      .Set("error", std::string(AnswerFor(error).name));
  SetAnswer(fields, answer);
  return fields.Encode();
}

Result<ClaimAnswer> ClaimAnswer::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(request_id, fields.RequiredText("ask"));
  const auto decision = FromName<ClaimDecision>(fields.Text("decision"));
  if (!decision) {
    return Error(ErrorKind::kPeerMalformed, "unknown decision");
  }
  ClaimAnswer message;
  message.request_id = RequestId(request_id);
  message.decision = *decision;
  message.error =
      ErrorNamed(fields.Text("error")).value_or(ErrorKind::kOutcomeUnknown);
  message.answer = AnswerOf(fields);
  return message;
}

}  // namespace qh
