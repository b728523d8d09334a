#include "qh_node/serving/problem.h"

#include <nlohmann/json.hpp>

namespace qh {

std::string ProblemJson(const Error& error, const RequestId& id) {
  const ErrorAnswer& answer = AnswerFor(error.kind());
  nlohmann::json problem = {
      {"type", "urn:quetzalhall:error:" + std::string(answer.name)},
      {"title", answer.title},
      {"status", answer.status},
      {"detail", error.detail()},
      {"executed", ToString(answer.executed)}};
  if (!id.empty()) {
    problem["request"] = id.value();
  }
  return problem.dump();
}

}  // namespace qh
