// Order of the requests that compete for capacity: for room at servers, for
// servers' permits and for priority at engines.
//
// Load pattern: more requests than can be served in time, of different
// urgency and size.

#ifndef QH_GATEWAY_DECISIONS_ADMISSION_ADMISSION_ORDER_H_
#define QH_GATEWAY_DECISIONS_ADMISSION_ADMISSION_ORDER_H_

#include <compare>
#include <cstdint>
#include <string>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// Which of the waiting requests is served first. docs/design/admission.md
// compares them.
enum class AdmissionOrder {
  kArrival,
  kStrictPriority,
  kEarliestDeadline,
  kShortestWork,
  // Urgency relative to the capacity that the request takes.
  kValuePerWork,
};

template <>
inline constexpr EnumName<AdmissionOrder> kEnumNames<AdmissionOrder>[] = {
    {AdmissionOrder::kArrival, "arrival"},
    {AdmissionOrder::kStrictPriority, "strict_priority"},
    {AdmissionOrder::kEarliestDeadline, "earliest_deadline"},
    {AdmissionOrder::kShortestWork, "shortest_work"},
    {AdmissionOrder::kValuePerWork, "value_per_work"},
};

// A request as admission decisions see it.
struct AdmissionRequest {
  std::string route;
  // Empty without one.
  std::string team;
  // The priority of the route itself, 0 the most urgent.
  int route_priority = 0;
  // The priority that counts: the team's, else the route's.
  int priority = 0;
  TimePoint arrived;
  // The last start with which the latency target is met.
  TimePoint start_by;
  // The last start with which the deadline is met.
  TimePoint last_start;
  // Expected time in a server's slot, in milliseconds; positive.
  double work_ms = 1;
  // The request was refused before with a Retry-After, and its caller returned
  // at that time.
  bool returned = false;
  // By how much its team asks for more than others, see
  // ServedShares::Crowding.
  double crowding = 1;
};

// Position of a waiting request; the smallest key is served first. Fixed while
// the request waits, so that an ordered container can hold the queue.
struct AdmissionKey {
  double level = 0;
  double value = 0;
  // Number of the arrival, which decides between equals.
  uint64_t sequence = 0;

  friend auto operator<=>(const AdmissionKey&, const AdmissionKey&) = default;
};

// Returns the key of `request`. A promoted request goes before all others, see
// ServedShares.
AdmissionKey KeyOf(AdmissionOrder order,
                   const AdmissionRequest& request,
                   bool promoted,
                   uint64_t sequence);

// Returns the urgency of a request where only steps of priority can be
// expressed, 0 the most urgent: one step more for a promoted or returned
// request, otherwise the priority itself.
int UrgencyStep(int priority, bool promoted, bool returned);

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ADMISSION_ADMISSION_ORDER_H_
