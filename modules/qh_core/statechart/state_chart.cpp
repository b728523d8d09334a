#include "qh_core/statechart/state_chart.h"

#include <algorithm>
#include <sstream>

namespace qh {
namespace {

constexpr std::string_view kAnyState = "*";

std::vector<std::string> SplitWords(const std::string& line) {
  std::istringstream stream(line.substr(0, line.find("//")));
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

// Appends `name` unless the list contains it.
void AddIfMissing(std::vector<std::string>& list, const std::string& name) {
  if (std::find(list.begin(), list.end(), name) == list.end()) {
    list.push_back(name);
  }
}

Error LineError(int line, const std::string& reason) {
  return {ErrorKind::kConfigInvalid,
          "state chart line " + std::to_string(line) + ": " + reason};
}

}  // namespace

Result<StateChart> StateChart::Parse(std::string_view text) {
  StateChart chart;
  std::istringstream lines{std::string(text)};
  int number = 0;
  std::vector<Transition> any_state;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    const auto words = SplitWords(line);
    if (words.empty()) {
      continue;
    }
    if (words.size() == 2 && words[0] == "initial") {
      chart.initial_ = words[1];
      AddIfMissing(chart.states_, words[1]);
      continue;
    }
    if (words.size() == 2 && words[0] == "final") {
      AddIfMissing(chart.finals_, words[1]);
      AddIfMissing(chart.states_, words[1]);
      continue;
    }
    if (words.size() != 4 || words[2] != "->") {
      return LineError(number, "expected 'state event -> state'");
    }
    Transition transition{words[0], words[1], words[3]};
    AddIfMissing(chart.states_, transition.to);
    auto& list = transition.from == kAnyState ? any_state : chart.transitions_;
    for (const auto& other : list) {
      if (other.from == transition.from && other.event == transition.event) {
        return LineError(number, "second rule for " + transition.from + " " +
                                     transition.event);
      }
    }
    if (transition.from != kAnyState) {
      AddIfMissing(chart.states_, transition.from);
    }
    list.push_back(std::move(transition));
  }
  if (chart.initial_.empty()) {
    return LineError(number, "no initial state");
  }
  for (const auto& transition : chart.transitions_) {
    if (chart.IsFinal(transition.from)) {
      return LineError(number, "rule leaves final state " + transition.from);
    }
  }
  chart.transitions_.insert(chart.transitions_.end(), any_state.begin(),
                            any_state.end());
  return chart;
}

bool StateChart::IsFinal(std::string_view state) const {
  return std::find(finals_.begin(), finals_.end(), state) != finals_.end();
}

std::optional<std::string_view> StateChart::Next(std::string_view state,
                                                 std::string_view event) const {
  if (IsFinal(state)) {
    return std::nullopt;
  }
  for (const auto& transition : transitions_) {
    const bool applies =
        transition.from == state || transition.from == kAnyState;
    if (applies && transition.event == event) {
      return transition.to;
    }
  }
  return std::nullopt;
}

}  // namespace qh
