// Interpreter for the state charts in statecharts/. A chart is a text:
//
//   initial received
//   final   answered
//   received  claim     -> claiming      // a comment
//   *         cancelled -> answered      // from every state that isn't final
//
// An event that the chart does not list for a state is not allowed in it.

#ifndef QH_CORE_STATECHART_STATE_CHART_H_
#define QH_CORE_STATECHART_STATE_CHART_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/text/enum_table.h"

namespace qh {

// A parsed chart, with states and events by name.
class StateChart {
 public:
  struct Transition {
    std::string from;
    std::string event;
    std::string to;
  };

  // Parses `text`. Fails with kConfigInvalid and a line number on a malformed
  // line, on a missing initial state, on a transition out of a final state, and
  // on two transitions for the same state and event.
  static Result<StateChart> Parse(std::string_view text);

  const std::string& initial() const { return initial_; }
  const std::vector<std::string>& states() const { return states_; }
  const std::vector<Transition>& transitions() const { return transitions_; }

  // Returns whether `state` is final.
  bool IsFinal(std::string_view state) const;

  // Returns the state after `event` in `state`, or nothing if not allowed.
  std::optional<std::string_view> Next(std::string_view state,
                                       std::string_view event) const;

 private:
  StateChart() = default;

  std::string initial_;
  std::vector<std::string> finals_;
  // All states named in the chart, without duplicates.
  std::vector<std::string> states_;
  // At most one for each (from, event); those from "*" come last.
  std::vector<Transition> transitions_;
};

// A chart bound to the enums of its states and events. Looking up a transition
// is one array access.
template <typename State, typename Event>
class BoundChart {
 public:
  // Parses `text` and binds its names to the enums. Fails with kConfigInvalid
  // if `text` is malformed or has a name that is not in the enums' tables.
  static Result<BoundChart> Bind(std::string_view text) {
    BOOST_OUTCOME_TRY(chart, StateChart::Parse(text));
    BoundChart bound;
    for (const std::string& name : chart.states()) {
      if (!FromName<State>(name)) {
        return Error(ErrorKind::kConfigInvalid, "unknown state " + name);
      }
    }
    for (const auto& transition : chart.transitions()) {
      if (!FromName<Event>(transition.event)) {
        return Error(ErrorKind::kConfigInvalid,
                     "unknown event " + transition.event);
      }
    }
    for (const auto& state : kEnumNames<State>) {
      for (const auto& event : kEnumNames<Event>) {
        const auto next = chart.Next(state.name, event.name);
        if (next) {
          bound.next_[Index(state.value)][Index(event.value)] =
              FromName<State>(*next);
        }
      }
      bound.final_[Index(state.value)] = chart.IsFinal(state.name);
    }
    bound.initial_ = *FromName<State>(chart.initial());
    return bound;
  }

  State initial() const { return initial_; }
  bool IsFinal(State state) const { return final_[Index(state)]; }

  // Returns the state after `event` in `state`, or nothing if not allowed.
  std::optional<State> Next(State state, Event event) const {
    return next_[Index(state)][Index(event)];
  }

 private:
  template <typename E>
  static constexpr size_t Index(E value) {
    return static_cast<size_t>(value);
  }
  static constexpr size_t kStates = std::size(kEnumNames<State>);
  static constexpr size_t kEvents = std::size(kEnumNames<Event>);

  State initial_{};
  std::array<bool, kStates> final_{};
  std::array<std::array<std::optional<State>, kEvents>, kStates> next_{};
};

}  // namespace qh

#endif  // QH_CORE_STATECHART_STATE_CHART_H_
