// Codec for OpenAI-compatible chat completions: parses callers' requests and
// the server-sent events of engines, and writes events and complete answers for
// callers.

#ifndef QH_NODE_SERVING_CHAT_CODEC_H_
#define QH_NODE_SERVING_CHAT_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"

namespace qh {

// A caller's chat request.
struct ChatRequest {
  std::string model;
  // All messages as "role: content" lines; the input of PrefixBlocks.
  std::string prompt;
  bool stream = false;
  uint32_t max_tokens = 256;
};

// Parses a chat request. Fails with kMalformedRequest; the detail says what is
// wrong with the body.
Result<ChatRequest> ParseChatRequest(const std::string& body);

// Returns the hashes of the prompt's leading blocks of 256 bytes. Hash i covers
// blocks 0..i. The last block may be shorter.
std::vector<uint64_t> PrefixBlocks(std::string_view prompt);

// Estimates the number of tokens in `text` from its length: one token per four
// bytes.
uint32_t EstimateTokens(std::string_view text);

// Returns the request body for an engine: the caller's body with streaming
// enabled. If `tokens` is not empty, the engine resumes the answer after them.
std::string EngineBody(const std::string& caller_body,
                       const std::vector<std::string>& tokens);

// Incremental parser for the server-sent events of an engine.
class EventReader {
 public:
  struct Event {
    // Text of the token; empty in the last event.
    std::string token;
    // The engine ended the stream with [DONE].
    bool done = false;
  };

  // Appends `bytes` to the input and returns the events that are complete now.
  // Fails with kMalformedAnswer.
  Result<std::vector<Event>> Feed(std::string_view bytes);

 private:
  // Bytes after the last complete event.
  std::string incomplete_;
};

// Returns the event that carries token number `index` (from 0). Its event id is
// index + 1.
std::string TokenEvent(const RequestId& id,
                       const std::string& model,
                       size_t index,
                       const std::string& token);
// Returns the event that ends a complete stream.
std::string DoneEvent();
// Returns the event that ends this stream and names the URL at which the caller
// can read the rest.
std::string MovedEvent(const std::string& location);
// Returns the event that ends a stream that can't be completed.
std::string ErrorEvent(const std::string& problem_json);
// Returns the body of a chat answer that is not streamed.
std::string CompleteChatBody(const RequestId& id,
                             const std::string& model,
                             const std::vector<std::string>& tokens);

}  // namespace qh

#endif  // QH_NODE_SERVING_CHAT_CODEC_H_
