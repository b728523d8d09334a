// The load patterns on which orders of admission are compared.

#ifndef TESTS_QH_GATEWAY_ADMISSION_PATTERNS_H_
#define TESTS_QH_GATEWAY_ADMISSION_PATTERNS_H_

#include "tests/qh_gateway/admission_model.h"

namespace qh {

// A burst of cheap urgent requests during long background work.
ModelPattern UrgentBurst(uint64_t seed);
// A flood of small requests that competes with few large ones of their route.
ModelPattern SmallFlood(uint64_t seed);
// One team that sends far more than the others together.
ModelPattern LoudTeam(uint64_t seed);
// Many callers that are refused together and come back.
ModelPattern RetryBurst(uint64_t seed);
// Capacity that drops to a quarter for three seconds.
ModelPattern CapacityDrop(uint64_t seed);

}  // namespace qh

#endif  // TESTS_QH_GATEWAY_ADMISSION_PATTERNS_H_
