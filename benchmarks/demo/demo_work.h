// The work of the brief's two users as a seeded sequence of requests.

#ifndef BENCHMARKS_DEMO_DEMO_WORK_H_
#define BENCHMARKS_DEMO_DEMO_WORK_H_

#include <string>
#include <vector>

#include "benchmarks/demo/demo_plan.h"
#include "qh_core/random/rng.h"

namespace qh::demo {

enum class WorkKind {
  // A chat whose answer streams.
  kCoachingChat,
  // A long prompt whose answer streams.
  kIncidentReport,
  // A long answer without a stream.
  kMenuDraft,
  // A short answer without a stream.
  kReceiptTag,
  // A call that runs at most once.
  kBooking,
  // A read of a plain service.
  kRecordRead,
};

}  // namespace qh::demo

namespace qh {

template <>
inline constexpr EnumName<demo::WorkKind> kEnumNames<demo::WorkKind>[] = {
    {demo::WorkKind::kCoachingChat, "coaching chat"},
    {demo::WorkKind::kIncidentReport, "incident report"},
    {demo::WorkKind::kMenuDraft, "menu draft"},
    {demo::WorkKind::kReceiptTag, "receipt tag"},
    {demo::WorkKind::kBooking, "booking"},
    {demo::WorkKind::kRecordRead, "record read"},
};

}  // namespace qh

namespace qh::demo {

// One request of a caller.
struct WorkItem {
  WorkKind kind = WorkKind::kCoachingChat;
  TeamKey team;
  std::string conversation;
  std::string method = "POST";
  std::string path = "/v1/chat/completions";
  std::string body;
  // Bookings only.
  std::string idempotency_key;
  // Chats only: what the engine is asked, to check its answer.
  std::string prompt;
  uint32_t max_tokens = 0;
  bool stream = false;

  bool is_chat() const { return max_tokens > 0; }
};

// One caller's work. The same plan, seed and name give the same sequence.
class DemoWork {
 public:
  // `name` distinguishes callers of one run. `plan` outlives the object.
  DemoWork(const DemoPlan& plan, uint64_t seed, const std::string& name);

  WorkItem Next();

 private:
  WorkItem Chat(WorkKind kind);
  WorkItem Booking();
  WorkItem Read();
  std::string Content(WorkKind kind);

  const DemoPlan& plan_;
  const std::string name_;
  Rng rng_;
  uint64_t count_ = 0;
};

}  // namespace qh::demo

#endif  // BENCHMARKS_DEMO_DEMO_WORK_H_
