// Decides how a request goes on when its server leaves: move the KV cache to
// the next server, or compute it there again.

#ifndef QH_REQUESTS_HANDOVER_RESUME_PLANNER_H_
#define QH_REQUESTS_HANDOVER_RESUME_PLANNER_H_

#include <cstdint>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

enum class ResumeMethod { kTransferCache, kRecompute };

template <>
inline constexpr EnumName<ResumeMethod> kEnumNames<ResumeMethod>[] = {
    {ResumeMethod::kTransferCache, "move_cache"},
    {ResumeMethod::kRecompute, "recompute"},
};

struct ResumeSituation {
  // Tokens whose cache the next server needs: prompt and answer so far.
  uint32_t tokens = 0;
  // Time until the server goes; zero after a sudden death.
  Duration notice_left = Duration::zero();
  // Requests on the leaving server that share the transfer, this one included.
  uint32_t transfers = 1;
  // Whether both engines can export and import.
  bool can_transfer = false;
};

struct ResumeRates {
  uint64_t cache_bytes_per_token = uint64_t{128} << 10;
  // Of the leaving server's network, for all transfers together.
  uint64_t transfer_bytes_per_second = 1'000'000'000;
  uint64_t prefill_tokens_per_second = 8'000;
  // Fixed cost of one export and import.
  Duration transfer_setup = std::chrono::milliseconds(50);
  // Part of the notice that is left unused.
  Duration notice_margin = std::chrono::milliseconds(500);
};

struct ResumePlan {
  ResumeMethod method = ResumeMethod::kRecompute;
  // How long each way delays the next token.
  Duration transfer_time = Duration::zero();
  Duration recompute_time = Duration::zero();
};

// Stateless.
class ResumePlanner {
 public:
  // Creates a planner; rates of zero count as one.
  static ResumePlanner Create(ResumeRates rates);

  // Moves the cache when that ends within the notice and is faster than to
  // compute it again.
  ResumePlan Plan(const ResumeSituation& situation) const;

 private:
  explicit ResumePlanner(ResumeRates rates) : rates_(rates) {}

  ResumeRates rates_;
};

}  // namespace qh

#endif  // QH_REQUESTS_HANDOVER_RESUME_PLANNER_H_
