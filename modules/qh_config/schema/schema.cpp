#include "qh_config/schema/schema.h"

namespace qh {
namespace {

using enum ValueType;

constexpr double kMaxPort = 65'535;
constexpr double kHourMs = 3'600'000;

SchemaRow Object(const std::string& path, const std::string& doc) {
  return {.path = path, .type = kObject, .doc = doc};
}

SchemaRow Map(const std::string& path, const std::string& doc) {
  return {.path = path, .type = kMap, .doc = doc};
}

SchemaRow Required(const std::string& path,
                   ValueType type,
                   const std::string& doc) {
  return {.path = path, .type = type, .doc = doc, .required = true};
}

SchemaRow Optional(const std::string& path,
                   ValueType type,
                   const std::string& default_value,
                   const std::string& doc) {
  return {
      .path = path, .type = type, .doc = doc, .default_value = default_value};
}

SchemaRow Integer(const std::string& path,
                  const std::string& default_value,
                  double min,
                  double max,
                  const std::string& doc) {
  return {.path = path,
          .type = kInteger,
          .doc = doc,
          .default_value = default_value,
          .min = min,
          .max = max};
}

SchemaRow Number(const std::string& path,
                 const std::string& default_value,
                 double min,
                 double max,
                 const std::string& doc) {
  SchemaRow row = Integer(path, default_value, min, max, doc);
  row.type = kNumber;
  return row;
}

SchemaRow Port(const std::string& path, const std::string& doc) {
  SchemaRow row = Integer(path, "", 1, kMaxPort, doc);
  row.required = true;
  return row;
}

SchemaRow Reference(const std::string& path,
                    const std::string& section,
                    const std::string& doc) {
  SchemaRow row = Required(path, kString, doc);
  row.reference = section;
  return row;
}

SchemaRow Choice(const std::string& path,
                 const std::string& default_value,
                 std::vector<std::string> choices,
                 const std::string& doc) {
  SchemaRow row = Optional(path, kChoice, default_value, doc);
  row.choices = std::move(choices);
  row.required = default_value.empty();
  return row;
}

void Append(Schema& schema, Schema rows) {
  schema.insert(schema.end(), rows.begin(), rows.end());
}

Schema ServerRows(const std::string& parent) {
  const std::string server = parent + ".servers.*";
  SchemaRow machine_class =
      Optional(server + ".machine_class", kString, R"("")",
               "Class of the server's machine; empty when not known.");
  machine_class.reference = "machine_classes";
  return {
      Map(parent + ".servers", "Backend servers by id."),
      Object(server, "One backend server. Its id is unique over all sections."),
      Required(server + ".host", kIpAddress, "Address of the server."),
      Port(server + ".port", "TCP port of the server."),
      Reference(server + ".failure_domain", "failure_domains",
                "Failure domain in which the server runs."),
      Optional(server + ".engine_version", kString, R"("")",
               "Version of the engine program; empty for plain services."),
      Optional(server + ".checks_fencing", kBoolean, "false",
               "Whether the server refuses an order with an old fencing "
               "number."),
      machine_class,
  };
}

Schema DomainRows() {
  return {
      Required("deployment", kString, "Name of the deployment."),
      Map("failure_domains", "Failure domains by id."),
      Object("failure_domains.*", "One failure domain."),
      Optional("failure_domains.*.region", kString, R"("")",
               "Region of the failure domain."),
      Map("machine_classes", "Machine classes of the cloud by id."),
      Object("machine_classes.*", "One machine class."),
      Number("machine_classes.*.on_demand_price", "0", 0, 1e6,
             "Price of an on-demand instance, per hour."),
      Number("machine_classes.*.reclaimable_price", "0", 0, 1e6,
             "Price of a reclaimable instance, per hour."),
  };
}

Schema PoolRows() {
  Schema rows = {
      Map("model_pools",
          "Groups of engines that serve the same models, by id."),
      Object("model_pools.*", "One model pool."),
      Map("model_pools.*.models",
          "Models by name. A model stands in one pool only."),
      Object("model_pools.*.models.*", "One model."),
      Required("model_pools.*.models.*.versions", kStringList,
               "Versions that may be served, newest last."),
      Optional("model_pools.*.models.*.adapters", kStringList, "[]",
               "Adapters that may be asked for."),
      Integer("model_pools.*.slots_per_server", "16", 1, 4'096,
              "Requests that one server may run at the same time."),
      Integer("model_pools.*.first_token_target_ms", "630", 1, kHourMs,
              "Target of the time to the first token, in milliseconds."),
      Integer("model_pools.*.token_interval_target_ms", "35", 1, kHourMs,
              "Target of the time between tokens, in milliseconds."),
  };
  Append(rows, ServerRows("model_pools.*"));
  return rows;
}

Schema TeamRows() {
  return {
      Map("teams", "Teams that may call, by id."),
      Object("teams.*", "One team."),
      Required("teams.*.key_sha256", kHashList,
               "SHA-256 of each accepted key. A key belongs to one team."),
      Number("teams.*.weight", "1", 0.001, 1'000,
             "Share of contended capacity against other teams."),
      Integer("teams.*.priority", "0", -100, 100,
              "Priority given to engines; larger goes first."),
      Integer("teams.*.tokens_per_minute", "0", 0, 1e12,
              "Prompt and generated tokens per minute over all nodes; 0 is no "
              "limit."),
      Integer("teams.*.requests_per_second", "0", 0, 1e6,
              "Requests per second over all nodes; 0 is no limit."),
      Choice("teams.*.default_class", R"("interactive")",
             {"service", "interactive", "batch"},
             "Class of chat requests that name none."),
  };
}

Schema RouteRows() {
  Schema rows = {
      Map("routes", "Plain services by id, reached below /services/<id>/."),
      Object("routes.*", "One service."),
      Integer("routes.*.timeout_ms", "10000", 1, kHourMs,
              "Longest wait for the service's answer, in milliseconds."),
  };
  Append(rows, ServerRows("routes.*"));
  Append(rows,
         {Map("non_idempotent", "Calls that run at most once, by id."),
          Object("non_idempotent.*", "One rule."),
          Reference("non_idempotent.*.route", "routes",
                    "Route that the rule is for."),
          Choice("non_idempotent.*.method", "",
                 {"POST", "PUT", "PATCH", "DELETE", "GET"}, "HTTP method."),
          Required("non_idempotent.*.path_prefix", kPath,
                   "Start of the paths below the route.")});
  return rows;
}

Schema LimitRows() {
  return {
      Object("limits", "Limits that every node applies."),
      Integer("limits.max_body_bytes", "4194304", 1, 1 << 30,
              "Largest body of a caller's request, in bytes."),
      Integer("limits.max_header_bytes", "16384", 256, 1 << 20,
              "Largest header of a caller's request, in bytes."),
      Integer("limits.read_timeout_ms", "10000", 1, kHourMs,
              "Longest pause while a caller's request is read, in "
              "milliseconds."),
      Integer("limits.locate_ttl_ms", "10000", 1, kHourMs,
              "How long callers keep an address, in milliseconds."),
      Integer("limits.interactive_deadline_ms", "30000", 1, kHourMs,
              "How long interactive callers wait for the first token, in "
              "milliseconds."),
      Integer("limits.batch_deadline_ms", "300000", 1, kHourMs,
              "How long batch callers wait for the first token, in "
              "milliseconds."),
      Integer("limits.max_open_requests", "500", 1, 100'000,
              "Requests that one node holds open at the same time."),
      Object("weights", "How much the deployment's two measures count."),
      Number("weights.recomputed_tokens", "1", 0, 1'000,
             "Weight of prompt tokens computed more than once."),
      Number("weights.cost", "1", 0, 1'000,
             "Weight of the cost at the latency target."),
  };
}

Schema MakeConfigSchema() {
  Schema schema = DomainRows();
  Append(schema, PoolRows());
  Append(schema, TeamRows());
  Append(schema, RouteRows());
  Append(schema, LimitRows());
  return schema;
}

Schema AddressRows(const std::string& path, const std::string& doc) {
  return {
      Required(path, kObject, doc),
      Required(path + ".host", kIpAddress, "Address in numbers."),
      Port(path + ".port", "TCP port."),
  };
}

Schema MakeNodeSettingsSchema() {
  Schema schema = {
      Required("instance", kString, "Id of this instance."),
      Required("failure_domain", kString,
               "Failure domain in which this instance runs."),
  };
  Append(schema, AddressRows("callers", "Where callers connect."));
  Append(schema, AddressRows("admin", "Where operators connect."));
  Append(schema, AddressRows("peers", "Where other nodes connect."));
  Append(schema, AddressRows("platform", "The platform's object API."));
  Append(schema, {Required("admin_token", kString,
                           "Token that operators send to the admin port."),
                  Required("peer_secret", kString,
                           "Secret that all nodes of the deployment share."),
                  Choice("log_level", R"("info")",
                         {"debug", "info", "warning", "error"},
                         "Lowest level of the log lines that are written.")});
  return schema;
}

}  // namespace

const Schema& ConfigSchema() {
  static const Schema schema = MakeConfigSchema();
  return schema;
}

const Schema& NodeSettingsSchema() {
  static const Schema schema = MakeNodeSettingsSchema();
  return schema;
}

const SchemaRow* FindRow(const Schema& schema, const std::string& path) {
  for (const SchemaRow& row : schema) {
    if (row.path == path) {
      return &row;
    }
  }
  return nullptr;
}

std::vector<std::string> ChildNames(const Schema& schema,
                                    const std::string& path) {
  const std::string prefix = path.empty() ? "" : path + ".";
  std::vector<std::string> names;
  for (const SchemaRow& row : schema) {
    if (row.path.size() > prefix.size() && row.path.starts_with(prefix) &&
        row.path.find('.', prefix.size()) == std::string::npos) {
      names.push_back(row.path.substr(prefix.size()));
    }
  }
  return names;
}

}  // namespace qh
