#include "qh_requests/handover/resume_planner.h"

#include <algorithm>

namespace qh {

ResumePlanner ResumePlanner::Create(ResumeRates rates) {
  rates.transfer_bytes_per_second =
      std::max<uint64_t>(rates.transfer_bytes_per_second, 1);
  rates.prefill_tokens_per_second =
      std::max<uint64_t>(rates.prefill_tokens_per_second, 1);
  return ResumePlanner(rates);
}

ResumePlan ResumePlanner::Plan(const ResumeSituation& situation) const {
  const double bytes = static_cast<double>(situation.tokens) *
                       static_cast<double>(rates_.cache_bytes_per_token) *
                       std::max<uint32_t>(situation.transfers, 1);
  ResumePlan plan;
  plan.transfer_time =
      rates_.transfer_setup +
      FromSeconds(bytes /
                  static_cast<double>(rates_.transfer_bytes_per_second));
  plan.recompute_time =
      FromSeconds(static_cast<double>(situation.tokens) /
                  static_cast<double>(rates_.prefill_tokens_per_second));
  const bool in_time =
      plan.transfer_time + rates_.notice_margin <= situation.notice_left;
  if (situation.can_transfer && in_time &&
      plan.transfer_time < plan.recompute_time) {
    plan.method = ResumeMethod::kTransferCache;
  }
  return plan;
}

}  // namespace qh
