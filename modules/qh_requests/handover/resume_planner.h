// Decides how a stream resumes on another server when its server leaves: by a
// transfer of the KV cache, or by computing the cache there again.

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

// What a decision depends on.
struct ResumeSituation {
  // Number of tokens in the cache: prompt and answer so far.
  uint32_t tokens = 0;
  // Time until the server is gone; zero after a sudden death.
  Duration notice_left = Duration::zero();
  // Number of requests whose caches the leaving server transfers at the same
  // time, this one included.
  uint32_t transfers = 1;
  // Whether both engines support the export and import of a cache.
  bool can_transfer = false;
};

// Costs of transfer and computation.
struct ResumeRates {
  uint64_t cache_bytes_per_token = uint64_t{128} << 10;
  // Network bandwidth of the leaving server, shared by all transfers.
  uint64_t transfer_bytes_per_second = 1'000'000'000;
  uint64_t prefill_tokens_per_second = 8'000;
  // Fixed cost of one export and import.
  Duration transfer_setup = std::chrono::milliseconds(50);
  // Headroom: a transfer must end this long before the server is gone.
  Duration notice_margin = std::chrono::milliseconds(500);
};

// The decision and the estimates behind it.
struct ResumePlan {
  ResumeMethod method = ResumeMethod::kRecompute;
  // Estimated delay of the next token with each method.
  Duration transfer_time = Duration::zero();
  Duration recompute_time = Duration::zero();
};

// Stateless.
class ResumePlanner {
 public:
  // Creates a planner. Bandwidth and prefill rates of zero count as one.
  static ResumePlanner Create(ResumeRates rates);

  // Plans a transfer when it ends in time and is faster than computing the
  // cache again.
  ResumePlan Plan(const ResumeSituation& situation) const;

 private:
  explicit ResumePlanner(ResumeRates rates) : rates_(rates) {}

  ResumeRates rates_;
};

}  // namespace qh

#endif  // QH_REQUESTS_HANDOVER_RESUME_PLANNER_H_
