#include "qh_requests/claims/claim_record.h"

#include "qh_requests/wire/field_map.h"

namespace qh {
namespace {

std::string EncodeRecord(const ClaimRecord& record) {
  FieldMap fields;
  fields.Set("kind", std::string(ToName(record.kind)))
      .Set("key", record.key)
      .Set("print", record.fingerprint)
      .Set("ask", record.request_id.value())
      .Set("at", record.written_ms);
  if (record.kind == ClaimRecordKind::kClaim) {
    fields.Set("by", record.claimant.value())
        .Set("until", record.runs_until_ms);
    return fields.Encode();
  }
  fields.Set("outcome", std::string(ToName(record.outcome)));
  if (record.answer_stored) {
    fields.Set("kept", 1)
        .Set("status", record.answer.status)
        .Set("type", record.answer.content_type)
        .Set("body", record.answer.body);
  }
  return fields.Encode();
}

Result<ClaimRecord> DecodeRecord(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(key, fields.RequiredText("key"));
  BOOST_OUTCOME_TRY(request_id, fields.RequiredText("ask"));
  const auto kind = FromName<ClaimRecordKind>(fields.Text("kind"));
  if (!kind) {
    return Error(ErrorKind::kPeerMalformed, "unknown kind of claim record");
  }
  ClaimRecord record;
  record.kind = *kind;
  record.key = key;
  record.request_id = RequestId(request_id);
  record.fingerprint = fields.Text("print");
  record.written_ms = fields.Number("at");
  record.claimant = InstanceId(fields.Text("by"));
  record.runs_until_ms = fields.Number("until");
  record.outcome = FromName<OutcomeKind>(fields.Text("outcome"))
                       .value_or(OutcomeKind::kUnknown);
  record.answer_stored = fields.Number("kept") != 0;
  record.answer = {static_cast<uint32_t>(fields.Number("status")),
                   fields.Text("type"), fields.Text("body")};
  return record;
}

}  // namespace

std::string ClaimBatch::Encode() const {
  std::vector<std::string> encoded;
  encoded.reserve(records.size());
  for (const ClaimRecord& record : records) {
    encoded.push_back(EncodeRecord(record));
  }
  return FieldMap()
      .Set("sequence", sequence)
      .Set("nonce", nonce)
      .Set("records", std::move(encoded))
      .Encode();
}

Result<ClaimBatch> ClaimBatch::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  ClaimBatch batch;
  batch.sequence = fields.Number("sequence");
  batch.nonce = fields.Number("nonce");
  for (const std::string& encoded : fields.List("records")) {
    BOOST_OUTCOME_TRY(record, DecodeRecord(encoded));
    batch.records.push_back(std::move(record));
  }
  if (batch.records.empty()) {
    return Error(ErrorKind::kPeerMalformed, "a batch without records");
  }
  return batch;
}

}  // namespace qh
