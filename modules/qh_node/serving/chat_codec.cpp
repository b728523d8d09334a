#include "qh_node/serving/chat_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

using nlohmann::json;

constexpr size_t kBlockBytes = 256;
constexpr size_t kBytesPerToken = 4;
constexpr uint32_t kMaxTokensLimit = 32'768;
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kDoneData = "[DONE]";

Error Malformed(const std::string& reason) {
  return {ErrorKind::kMalformedRequest, reason};
}

Result<EventReader::Event> ParseEngineEvent(std::string_view block) {
  EventReader::Event event;
  const size_t start = block.find(kDataField);
  if (start == std::string_view::npos) {
    return Error(ErrorKind::kMalformedAnswer, "event without data");
  }
  std::string_view data = block.substr(start + kDataField.size());
  data = data.substr(0, data.find('\n'));
  if (data == kDoneData) {
    event.done = true;
    return event;
  }
  const json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object() || !chunk.contains("choices")) {
    return Error(ErrorKind::kMalformedAnswer, "event is no chat chunk");
  }
  try {
    event.token = chunk["choices"].at(0).at("delta").value("content", "");
  } catch (const json::exception&) {
    return Error(ErrorKind::kMalformedAnswer, "chat chunk without delta");
  }
  return event;
}

}  // namespace

Result<ChatRequest> ParseChatRequest(const std::string& body) {
  const json root = json::parse(body, nullptr, false);
  if (!root.is_object()) {
    return Malformed("body is no JSON object");
  }
  try {
    ChatRequest request;
    request.model = root.at("model");
    request.stream = root.value("stream", false);
    request.max_tokens = root.value("max_tokens", request.max_tokens);
    for (const json& message : root.at("messages")) {
      request.prompt += message.at("role").get<std::string>() + ": ";
      request.prompt += message.at("content").get<std::string>() + "\n";
    }
    if (request.prompt.empty()) {
      return Malformed("messages: empty");
    }
    if (request.max_tokens == 0 || request.max_tokens > kMaxTokensLimit) {
      return Malformed("max_tokens: out of range");
    }
    return request;
  } catch (const json::exception& error) {
    return Malformed(error.what());
  }
}

std::vector<uint64_t> PrefixBlocks(std::string_view prompt) {
  std::vector<uint64_t> blocks;
  uint64_t hash = 0;
  for (size_t at = 0; at < prompt.size(); at += kBlockBytes) {
    hash = Hash64(prompt.substr(at, kBlockBytes), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

uint32_t EstimateTokens(std::string_view text) {
  return static_cast<uint32_t>(text.size() / kBytesPerToken + 1);
}

std::string EngineBody(const std::string& caller_body,
                       const std::vector<std::string>& tokens) {
  json root = json::parse(caller_body, nullptr, false);
  root["stream"] = true;
  if (!tokens.empty()) {
    root["resume_tokens"] = tokens;
  }
  return root.dump();
}

Result<std::vector<EventReader::Event>> EventReader::Feed(
    std::string_view bytes) {
  incomplete_ += bytes;
  std::vector<Event> events;
  size_t start = 0;
  for (size_t end = incomplete_.find("\n\n"); end != std::string::npos;
       end = incomplete_.find("\n\n", start)) {
    const std::string_view block =
        std::string_view(incomplete_).substr(start, end - start);
    BOOST_OUTCOME_TRY(event, ParseEngineEvent(block));
    events.push_back(std::move(event));
    start = end + 2;
  }
  incomplete_.erase(0, start);
  return events;
}

std::string TokenEvent(const RequestId& id,
                       const std::string& model,
                       size_t index,
                       const std::string& token) {
  const json chunk = {
      {"id", id.value()},
      {"object", "chat.completion.chunk"},
      {"model", model},
      {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
  return "id: " + std::to_string(index + 1) + "\ndata: " + chunk.dump() +
         "\n\n";
}

std::string DoneEvent() {
  return "data: [DONE]\n\n";
}

std::string MovedEvent(const std::string& location) {
  return "event: moved\ndata: " + json{{"location", location}}.dump() + "\n\n";
}

std::string ErrorEvent(const std::string& problem_json) {
  return "event: error\ndata: " + problem_json + "\n\n";
}

std::string CompleteChatBody(const RequestId& id,
                             const std::string& model,
                             const std::vector<std::string>& tokens) {
  std::string content;
  for (const std::string& token : tokens) {
    content += token;
  }
  const json message = {{"role", "assistant"}, {"content", content}};
  const json root = {
      {"id", id.value()},
      {"object", "chat.completion"},
      {"model", model},
      {"choices",
       {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
      {"usage", {{"completion_tokens", tokens.size()}}}};
  return root.dump();
}

}  // namespace qh
