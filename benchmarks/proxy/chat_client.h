// A caller with one kept connection, to a node or straight to an engine.

#ifndef BENCHMARKS_PROXY_CHAT_CLIENT_H_
#define BENCHMARKS_PROXY_CHAT_CLIENT_H_

#include <memory>
#include <string>

#include "qh_config/configuration.h"

namespace qh::bench {

struct ChatTiming {
  // Whether the stream came with its end.
  bool whole = false;
  Duration first_token = Duration::zero();
};

class ChatClient {
 public:
  explicit ChatClient(const Address& address);
  ~ChatClient();

  // Streams one chat of `max_tokens` tokens.
  ChatTiming Run(const std::string& model,
                 const std::string& content,
                 uint32_t max_tokens);

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace qh::bench

#endif  // BENCHMARKS_PROXY_CHAT_CLIENT_H_
