// One chat call as the engine's stand-in reads it, and the parts of its answer.

#ifndef STANDINS_ENGINE_CHAT_JOB_H_
#define STANDINS_ENGINE_CHAT_JOB_H_

#include <cstdint>
#include <string>

#include "qh_core/errors/result.h"

namespace qh::standins {

struct ChatJob {
  // Contents of all messages, each ended by a newline.
  std::string prompt;
  uint32_t max_tokens = 16;
  bool stream = true;
  int32_t priority = 0;
  // Tokens that the caller already has; the answer starts after them.
  uint32_t resume_from = 0;
};

// Returns token `index` of the answer to `prompt`.
std::string EngineToken(const std::string& prompt, uint32_t index);

// Reads the body of a call. Fails with kMalformedRequest, also when the tokens
// to resume after are not those of this prompt's answer.
Result<ChatJob> ParseChatJob(const std::string& body);

// Returns the event that carries `token`.
std::string ChunkEvent(const std::string& token);

// Returns the whole answer's body, for calls without a stream.
std::string WholeAnswerBody(const ChatJob& job);

}  // namespace qh::standins

#endif  // STANDINS_ENGINE_CHAT_JOB_H_
