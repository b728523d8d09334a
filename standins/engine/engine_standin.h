// A model engine's stand-in: OpenAI-shape chat completions as an event stream,
// orders, load, and the prefix cache. Its answer is a function of the prompt
// alone, so that a caller can check that a resumed answer is whole.

#ifndef STANDINS_ENGINE_ENGINE_STANDIN_H_
#define STANDINS_ENGINE_ENGINE_STANDIN_H_

#include <cstdint>
#include <memory>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"
#include "standins/engine/chat_job.h"

namespace qh::standins {

struct EngineSettings {
  std::string id;
  std::string host;
  // Zero takes a free port.
  uint16_t port = 0;
  // Time before the first token and between tokens.
  Duration first_token = std::chrono::milliseconds(20);
  Duration token_interval = std::chrono::milliseconds(5);
  // Time for each prompt block that is not cached, before the first token.
  Duration block_prefill = Duration::zero();
  // Blocks that the prefix cache holds.
  size_t cache_blocks = 4'096;
  // Requests that run at once; zero is no limit.
  uint32_t slots = 0;
  // How late GET /v1/load is.
  Duration load_lag = std::chrono::milliseconds(500);
  // Whether orders with an older fencing number are refused.
  bool checks_fencing = true;
  // A prompt that holds this text ends the process; empty for none.
  std::string crash_marker;
};

class EngineStandin {
 public:
  // Binds and serves until destroyed; then takes no more connections and ends
  // the running requests whole. Fails with kInternal when the port is taken.
  static Result<std::unique_ptr<EngineStandin>> Start(
      const EngineSettings& settings);
  ~EngineStandin();

  uint16_t port() const;

 private:
  class Impl;
  explicit EngineStandin(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace qh::standins

#endif  // STANDINS_ENGINE_ENGINE_STANDIN_H_
