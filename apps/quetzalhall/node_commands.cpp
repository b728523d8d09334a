#include "apps/quetzalhall/node_commands.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "apps/quetzalhall/text_table.h"

namespace qh::cli {
namespace {

using nlohmann::json;

constexpr const char* kNodeRole = "node";
constexpr size_t kMaxParallelCalls = 32;

using Nodes = std::vector<ListedInstance>;

// Returns the listed nodes, sorted by id. Prints the error and returns nullopt
// if the list can't be read.
std::optional<Nodes> ListNodes(const InstanceListHook& instances,
                               const Output& output) {
  auto listed = instances();
  if (!listed) {
    output.err << listed.error().detail() << "\n";
    return std::nullopt;
  }
  Nodes nodes;
  for (const ListedInstance& instance : listed.value()) {
    if (instance.role == kNodeRole) {
      nodes.push_back(instance);
    }
  }
  std::sort(nodes.begin(), nodes.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return nodes;
}

// Sends a GET to all nodes, up to kMaxParallelCalls at the same time. Returns
// the replies in the order of `nodes`.
std::vector<AdminReply> GetFromAll(const Nodes& nodes,
                                   const AdminClient& admin,
                                   const std::string& path) {
  std::vector<AdminReply> replies(nodes.size());
  std::atomic<size_t> next = 0;
  const auto work = [&] {
    for (size_t i = next++; i < nodes.size(); i = next++) {
      replies[i] = admin.Get(nodes[i], path);
    }
  };
  std::vector<std::thread> threads;
  for (size_t i = 0; i < std::min(nodes.size(), kMaxParallelCalls); ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return replies;
}

// Cells of one node in the status table.
struct NodeRow {
  std::string state;
  std::string version = "-";
  std::string open_requests = "-";
  bool answered = false;
};

NodeRow RowOf(const ListedInstance& node, const AdminReply& reply) {
  NodeRow row;
  if (reply.status != 200) {
    row.state = reply.status == 0 ? "no answer"
                                  : "answers " + std::to_string(reply.status);
    return row;
  }
  const json status = json::parse(reply.body, nullptr, false);
  if (!status.is_object()) {
    row.state = "malformed answer";
    return row;
  }
  row.answered = true;
  row.state = status.value("draining", false)         ? "draining"
              : node.state == InstanceState::kLeaving ? "leaving"
                                                      : "live";
  row.version = std::to_string(status.value("config_version", uint64_t{0}));
  row.open_requests =
      std::to_string(status.value("open_requests", uint64_t{0}));
  return row;
}

}  // namespace

ExitCode Status(const InstanceListHook& instances,
                const AdminClient& admin,
                const Output& output) {
  const auto nodes = ListNodes(instances, output);
  if (!nodes) {
    return ExitCode::kFailed;
  }
  const auto replies = GetFromAll(*nodes, admin, "/v1/status");
  TextTable table({"INSTANCE", "FAILURE DOMAIN", "STATE", "CONFIG", "OPEN"});
  std::set<std::string> domains;
  std::map<std::string, size_t> versions;
  size_t answered = 0;
  for (size_t i = 0; i < nodes->size(); ++i) {
    const ListedInstance& node = (*nodes)[i];
    const NodeRow row = RowOf(node, replies[i]);
    table.Add({node.id, node.failure_domain.value(), row.state, row.version,
               row.open_requests});
    domains.insert(node.failure_domain.value());
    if (row.answered) {
      ++answered;
      ++versions[row.version];
    }
  }
  output.out << table.ToString() << nodes->size() << " nodes in "
             << domains.size() << " failure domains, " << answered
             << " answer\n";
  for (const auto& [version, count] : versions) {
    output.out << "configuration " << version << " is in force on " << count
               << "\n";
  }
  return answered == nodes->size() ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode Drain(const std::string& instance,
               const InstanceListHook& instances,
               const AdminClient& admin,
               const Output& output) {
  const auto nodes = ListNodes(instances, output);
  if (!nodes) {
    return ExitCode::kFailed;
  }
  for (const ListedInstance& node : *nodes) {
    if (node.id != instance) {
      continue;
    }
    const AdminReply reply = admin.Post(node, "/v1/drain");
    if (reply.status == 202) {
      output.out << instance << ": drain started\n";
      return ExitCode::kOk;
    }
    output.err << instance << ": " << RowOf(node, reply).state << "\n";
    return ExitCode::kFailed;
  }
  output.err << instance << ": not listed; nodes are:";
  for (const ListedInstance& node : *nodes) {
    output.err << " " << node.id;
  }
  output.err << "\n";
  return ExitCode::kFailed;
}

ExitCode Explain(const std::string& request,
                 const InstanceListHook& instances,
                 const AdminClient& admin,
                 const Output& output) {
  const auto nodes = ListNodes(instances, output);
  if (!nodes) {
    return ExitCode::kFailed;
  }
  const auto replies = GetFromAll(*nodes, admin, "/v1/explain/" + request);
  bool known = false;
  for (size_t i = 0; i < replies.size(); ++i) {
    if (replies[i].status == 200) {
      known = true;
      const json answer = json::parse(replies[i].body, nullptr, false);
      output.out << (*nodes)[i].id << ":\n" << answer.dump(2) << "\n";
    } else if (replies[i].status != 404) {
      output.err << (*nodes)[i].id << ": "
                 << RowOf((*nodes)[i], replies[i]).state << "\n";
    }
  }
  if (!known) {
    output.err << request << ": no node that answers knows this request\n";
  }
  return known ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace qh::cli
