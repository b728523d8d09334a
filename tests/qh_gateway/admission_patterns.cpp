#include "tests/qh_gateway/admission_patterns.h"

namespace qh {

// The default service has 24 slots: 800 requests of 30 ms a second.

ModelPattern UrgentBurst(uint64_t seed) {
  return {
      .name = "urgent burst",
      .hold_per_slot = 1.5,
      .requests = MakeRequests({{.request = {.route = "background",
                                             .priority = 2,
                                             .work_ms = 200,
                                             .target_ms = 1'000,
                                             .deadline_ms = 5'000},
                                 .per_s = 70,
                                 .to_ms = 6'000,
                                 .max_work_ms = 500},
                                {.request = {.route = "urgent", .work_ms = 10},
                                 .per_s = 900,
                                 .from_ms = 2'000,
                                 .to_ms = 4'000,
                                 .max_work_ms = 30}},
                               seed)};
}

ModelPattern SmallFlood(uint64_t seed) {
  return {.name = "small flood",
          .hold_per_slot = 1.5,
          .requests = MakeRequests({{.request = {.route = "chat",
                                                 .work_ms = 15,
                                                 .target_ms = 500,
                                                 .deadline_ms = 3'000},
                                     .per_s = 1'100,
                                     .to_ms = 6'000,
                                     .max_work_ms = 25},
                                    {.request = {.route = "chat",
                                                 .work_ms = 150,
                                                 .target_ms = 500,
                                                 .deadline_ms = 3'000},
                                     .per_s = 60,
                                     .to_ms = 6'000,
                                     .max_work_ms = 400}},
                                   seed)};
}

ModelPattern LoudTeam(uint64_t seed) {
  std::vector<ModelStream> streams{
      {.request = {.route = "api", .team = "loud", .priority = 1},
       .per_s = 1'600,
       .from_ms = 1'000,
       .to_ms = 5'000}};
  for (const char* team : {"q1", "q2", "q3", "q4", "q5", "q6"}) {
    streams.push_back({.request = {.route = "api", .team = team, .priority = 1},
                       .per_s = 60,
                       .to_ms = 6'000});
  }
  streams.push_back({.request = {.route = "live", .team = "q1"},
                     .per_s = 200,
                     .to_ms = 6'000});
  return {.name = "loud team", .requests = MakeRequests(streams, seed)};
}

ModelPattern RetryBurst(uint64_t seed) {
  return {.name = "retry burst",
          .requests = MakeRequests({{.request = {.route = "live", .team = "a"},
                                     .per_s = 250,
                                     .to_ms = 5'000},
                                    {.request = {.route = "batch",
                                                 .team = "b",
                                                 .priority = 1,
                                                 .deadline_ms = 2'500},
                                     .per_s = 250,
                                     .to_ms = 5'000},
                                    {.request = {.route = "batch",
                                                 .team = "c",
                                                 .priority = 1,
                                                 .deadline_ms = 2'500},
                                     .per_s = 60'000,
                                     .from_ms = 2'000,
                                     .to_ms = 2'010}},
                                   seed)};
}

ModelPattern CapacityDrop(uint64_t seed) {
  return {
      .name = "capacity drop",
      .capacity =
          [](double at_ms) {
            return at_ms >= 2'000 && at_ms < 5'000 ? 0.25 : 1.0;
          },
      .requests = MakeRequests(
          {{.request = {.route = "live", .team = "a", .work_ms = 20},
            .per_s = 200,
            .to_ms = 7'000,
            .max_work_ms = 40},
           {.request =
                {.route = "form", .team = "a", .priority = 1, .work_ms = 20},
            .per_s = 200,
            .to_ms = 7'000,
            .max_work_ms = 40},
           {.request = {.route = "batch",
                        .team = "b",
                        .priority = 2,
                        .work_ms = 20,
                        .deadline_ms = 2'500},
            .per_s = 200,
            .to_ms = 7'000,
            .max_work_ms = 40}},
          seed)};
}

}  // namespace qh
