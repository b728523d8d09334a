#include "benchmarks/demo/demo_work.h"

#include <nlohmann/json.hpp>

#include "qh_core/hash/hash.h"

namespace qh::demo {
namespace {

using nlohmann::json;

// Conversations that a caller keeps going.
constexpr uint64_t kConversations = 8;
// Bytes of a long incident report, shared by all of its requests.
constexpr size_t kReportBytes = 12'000;

// How often a kind comes, and how long its answers are.
struct KindShape {
  WorkKind kind;
  uint32_t percent;
  uint32_t min_tokens;
  uint32_t max_tokens;
  bool stream;
};

constexpr KindShape kShapes[] = {
    {WorkKind::kCoachingChat, 34, 20, 120, true},
    {WorkKind::kIncidentReport, 6, 40, 900, true},
    {WorkKind::kMenuDraft, 10, 60, 120, false},
    {WorkKind::kReceiptTag, 15, 3, 8, false},
    {WorkKind::kBooking, 25, 0, 0, false},
    {WorkKind::kRecordRead, 10, 0, 0, false},
};

const KindShape& ShapeOf(WorkKind kind) {
  return kShapes[static_cast<size_t>(kind)];
}

}  // namespace

DemoWork::DemoWork(const DemoPlan& plan, uint64_t seed, const std::string& name)
    : plan_(plan), name_(name), rng_(HashPair(seed, Hash64(name))) {}

WorkItem DemoWork::Next() {
  ++count_;
  uint64_t draw = rng_.Below(100);
  for (const KindShape& shape : kShapes) {
    if (draw >= shape.percent) {
      draw -= shape.percent;
      continue;
    }
    WorkItem item = shape.kind == WorkKind::kBooking      ? Booking()
                    : shape.kind == WorkKind::kRecordRead ? Read()
                                                          : Chat(shape.kind);
    item.kind = shape.kind;
    item.team = plan_.keys[rng_.Below(plan_.keys.size())];
    return item;
  }
  return Read();
}

std::string DemoWork::Content(WorkKind kind) {
  const std::string number = std::to_string(rng_.Below(kConversations));
  switch (kind) {
    case WorkKind::kIncidentReport:
      return "Report " + number + ": " + std::string(kReportBytes, 'r') +
             " Question " + std::to_string(count_);
    case WorkKind::kMenuDraft:
      return "Draft the allergen menu of week " + number;
    case WorkKind::kReceiptTag:
      return "Tag receipt " + name_ + "/" + std::to_string(count_);
    default:
      return "Scenario " + number + ": a swimmer is drifting out. Step " +
             std::to_string(count_);
  }
}

WorkItem DemoWork::Chat(WorkKind kind) {
  const KindShape& shape = ShapeOf(kind);
  const auto& pools = plan_.config.model_pools;
  const ModelPool& pool = pools[rng_.Below(pools.size())];
  const std::string content = Content(kind);
  WorkItem item;
  item.conversation = name_ + "-" + std::to_string(rng_.Below(kConversations));
  item.max_tokens = static_cast<uint32_t>(
      shape.min_tokens + rng_.Below(shape.max_tokens - shape.min_tokens + 1));
  item.stream = shape.stream;
  // The stand-in ends each message by a newline.
  item.prompt = content + "\n";
  item.body = json{{"model", pool.models[0].name},
                   {"stream", item.stream},
                   {"max_tokens", item.max_tokens},
                   {"messages", {{{"role", "user"}, {"content", content}}}}}
                  .dump();
  return item;
}

WorkItem DemoWork::Booking() {
  const auto& rules = plan_.config.non_idempotent;
  const NonIdempotentRule& rule = rules[rng_.Below(rules.size())];
  WorkItem item;
  item.method = rule.method;
  item.path = "/services/" + rule.route.value() + rule.path_prefix;
  item.idempotency_key = name_ + "-" + std::to_string(count_);
  item.body = json{{"booking", item.idempotency_key}}.dump();
  return item;
}

WorkItem DemoWork::Read() {
  const auto& routes = plan_.config.routes;
  WorkItem item;
  item.method = "GET";
  item.path = "/services/" + routes[rng_.Below(routes.size())].id.value() +
              "/records/" + std::to_string(rng_.Below(1'000));
  return item;
}

}  // namespace qh::demo
