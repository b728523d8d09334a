#include "standins/engine/chat_job.h"

#include <nlohmann/json.hpp>

#include "qh_core/hash/hash.h"

namespace qh::standins {
namespace {

using nlohmann::json;

constexpr uint64_t kVocabulary = 1'000;

}  // namespace

std::string EngineToken(const std::string& prompt, uint32_t index) {
  return "t" + std::to_string(HashPair(Hash64(prompt), index) % kVocabulary) +
         " ";
}

Result<ChatJob> ParseChatJob(const std::string& body) {
  try {
    const json root = json::parse(body);
    ChatJob job;
    for (const json& message : root.at("messages")) {
      job.prompt += message.at("content").get<std::string>() + "\n";
    }
    job.max_tokens = root.value("max_tokens", job.max_tokens);
    job.stream = root.value("stream", job.stream);
    job.priority = root.value("priority", job.priority);
    if (root.contains("resume_tokens")) {
      for (const json& token : root["resume_tokens"]) {
        if (token != EngineToken(job.prompt, job.resume_from++)) {
          return Error(ErrorKind::kMalformedRequest,
                       "resume_tokens: not this answer's");
        }
      }
    }
    return job;
  } catch (const json::exception& error) {
    return Error(ErrorKind::kMalformedRequest, error.what());
  }
}

std::string ChunkEvent(const std::string& token) {
  const json chunk = {
      {"object", "chat.completion.chunk"},
      {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
  return "data: " + chunk.dump() + "\n\n";
}

std::string WholeAnswerBody(const ChatJob& job) {
  std::string content;
  for (uint32_t i = job.resume_from; i < job.max_tokens; ++i) {
    content += EngineToken(job.prompt, i);
  }
  const json message = {{"role", "assistant"}, {"content", content}};
  return json{{"object", "chat.completion"},
              {"choices", {{{"index", 0}, {"message", message}}}}}
      .dump();
}

}  // namespace qh::standins
