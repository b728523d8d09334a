#include "qh_node/handover/handover_payload.h"

#include "qh_node/serving/chat_codec.h"
#include "qh_requests/wire/field_map.h"

namespace qh {
namespace {

// Returns the kind called `name` in AnswerTable, or kOutcomeUnknown if there is
// none.
ErrorKind ErrorKindFromName(const std::string& name) {
  for (const ErrorAnswer& row : AnswerTable()) {
    if (row.name == name) {
      return row.kind;
    }
  }
  return ErrorKind::kOutcomeUnknown;
}

}  // namespace

std::string EncodePayload(const RequestPayload& payload) {
  return FieldMap()
      .Set("model", payload.model)
      .Set("route", payload.route.value())
      .Set("method", payload.method)
      .Set("path", payload.path)
      .Set("type", payload.content_type)
      .Set("body", payload.body)
      .Encode();
}

Result<RequestPayload> DecodePayload(const std::string& bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  RequestPayload payload;
  payload.model = fields.Text("model");
  payload.route = RouteId(fields.Text("route"));
  payload.method = fields.Text("method");
  payload.path = fields.Text("path");
  payload.content_type = fields.Text("type");
  payload.body = fields.Text("body");
  if (payload.route.empty()) {
    const auto chat = ParseChatRequest(payload.body);
    if (!chat) {
      return Error(ErrorKind::kPeerMalformed, chat.error().detail());
    }
    payload.prefix_blocks = PrefixBlocks(chat.value().prompt);
  }
  return payload;
}

std::string HandoverResult::Encode() const {
  FieldMap fields;
  fields.Set("id", id.value());
  if (result) {
    fields.Set("status", static_cast<uint64_t>(result.value().status))
        .Set("type", result.value().content_type)
        .Set("body", result.value().body);
  } else {
    fields.Set("error", std::string(AnswerFor(result.error().kind()).name))
        .Set("detail", result.error().detail());
  }
  return fields.Encode();
}

Result<HandoverResult> HandoverResult::Decode(const std::string& bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(id, fields.RequiredText("id"));
  HandoverResult message;
  message.id = RequestId(id);
  const std::string error = fields.Text("error");
  if (error.empty()) {
    message.result = CompleteAnswer{static_cast<int>(fields.Number("status")),
                                    fields.Text("type"), fields.Text("body")};
  } else {
    message.result = Error(ErrorKindFromName(error), fields.Text("detail"));
  }
  return message;
}

}  // namespace qh
