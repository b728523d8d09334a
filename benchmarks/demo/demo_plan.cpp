#include "benchmarks/demo/demo_plan.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "qh_config/config_loader.h"
#include "standins/common/free_ports.h"

namespace qh::demo {
namespace {

using nlohmann::json;

constexpr size_t kNodes = 5;
constexpr const char* kAdminToken = "demo-operator";
// Sorts after every file of the folder.
constexpr const char* kAddressFile = "zz-demo-addresses.json";
constexpr const char* kKeyFile = "demo-keys.txt";
constexpr const char* kEngineOptions =
    " --first-token-ms 20 --token-ms 10 --load-lag-ms 300";

void WriteText(const std::filesystem::path& path, const std::string& text) {
  std::filesystem::create_directories(path.parent_path());
  std::ofstream(path) << text;
}

json ToJson(const Address& address) {
  return {{"host", address.host}, {"port", address.port}};
}

// Builds the plan's files.
class Planner {
 public:
  Planner(std::string folder, std::filesystem::path work)
      : folder_(std::move(folder)), work_(std::move(work)) {}

  Result<void> Run() {
    BOOST_OUTCOME_TRY(files, ReadConfigFolder(folder_));
    BOOST_OUTCOME_TRY(config, Load(files));
    BOOST_OUTCOME_TRY(platform, TakeAddress(NextHost()));
    AddProcess("platform", "standin-platform", platform, "--list-lag-ms 300");
    json overrides = json::object();
    for (const ModelPool& pool : config.model_pools) {
      BOOST_OUTCOME_TRY(
          PlaceServers(pool.servers, "standin-engine", kEngineOptions,
                       overrides["model_pools"][pool.id.value()]["servers"]));
    }
    for (const Route& route : config.routes) {
      BOOST_OUTCOME_TRY(
          PlaceServers(route.servers, "standin-service", " --work-ms 5",
                       overrides["routes"][route.id.value()]["servers"]));
    }
    for (size_t i = 0; i < kNodes; ++i) {
      BOOST_OUTCOME_TRY(PlaceNode(i, config, platform));
    }
    for (const ConfigFile& file : files) {
      WriteText(work_ / "config" / file.name, file.text);
    }
    WriteText(work_ / "config" / kAddressFile, overrides.dump(2) + "\n");
    WriteText(work_ / "processes", processes_.str());
    WriteText(work_ / "token", std::string(kAdminToken) + "\n");
    WriteText(work_ / "platform", platform.ToString() + "\n");
    WriteText(
        work_ / "plan.json",
        json{{"platform", ToJson(platform)}, {"nodes", node_ids_}}.dump(2));
    std::error_code error;
    std::filesystem::copy_file(std::filesystem::path(folder_) / kKeyFile,
                               work_ / kKeyFile, error);
    if (error) {
      return Error(ErrorKind::kConfigInvalid,
                   folder_ + "/" + kKeyFile + ": " + error.message());
    }
    return Ok();
  }

 private:
  static Result<Configuration> Load(const std::vector<ConfigFile>& files) {
    const LoadedConfig loaded = LoadConfig(files);
    if (!loaded.mistakes.empty()) {
      return Error(ErrorKind::kConfigInvalid, loaded.mistakes[0].ToString());
    }
    if (loaded.configuration.failure_domains.empty()) {
      return Error(ErrorKind::kConfigInvalid, "no failure domain");
    }
    return loaded.configuration;
  }

  // A loopback address for each process, of a network of this run's own:
  // outgoing connections take their ports at 127.0.0.1 and so none of ours.
  std::string NextHost() {
    const int pid = getpid();
    return "127." + std::to_string(64 + pid % 128) + "." +
           std::to_string(pid / 128 % 256) + "." + std::to_string(++hosts_);
  }

  Result<Address> TakeAddress(const std::string& host) {
    BOOST_OUTCOME_TRY(port, ports_.Take(host));
    return Address{host, port};
  }

  void AddProcess(const std::string& name,
                  const std::string& program,
                  const Address& address,
                  const std::string& options) {
    processes_ << name << " " << program << " --host " << address.host
               << " --port " << address.port << " " << options << "\n";
  }

  Result<void> PlaceServers(const std::vector<BackendServer>& servers,
                            const std::string& program,
                            const std::string& options,
                            json& overrides) {
    for (const BackendServer& server : servers) {
      BOOST_OUTCOME_TRY(address, TakeAddress(NextHost()));
      AddProcess(server.id.value(), program, address,
                 "--id " + server.id.value() + options);
      overrides[server.id.value()] = ToJson(address);
    }
    return Ok();
  }

  Result<void> PlaceNode(size_t index,
                         const Configuration& config,
                         const Address& platform) {
    const std::string id = "n" + std::to_string(index + 1);
    const std::string host = NextHost();
    BOOST_OUTCOME_TRY(callers, TakeAddress(host));
    BOOST_OUTCOME_TRY(admin, TakeAddress(host));
    BOOST_OUTCOME_TRY(peers, TakeAddress(host));
    const auto& domains = config.failure_domains;
    const json settings = {
        {"instance", id},
        {"failure_domain", domains[index % domains.size()].id.value()},
        {"callers", ToJson(callers)},
        {"admin", ToJson(admin)},
        {"peers", ToJson(peers)},
        {"platform", ToJson(platform)},
        {"admin_token", kAdminToken},
        {"peer_secret", "demo-peers"}};
    const std::filesystem::path file = work_ / "nodes" / (id + ".json");
    WriteText(file, settings.dump(2) + "\n");
    processes_ << id << " quetzalhalld --config " << file.string() << "\n";
    node_ids_.push_back(id);
    return Ok();
  }

  const std::string folder_;
  const std::filesystem::path work_;
  standins::FreePorts ports_;
  int hosts_ = 0;
  std::ostringstream processes_;
  std::vector<std::string> node_ids_;
};

// Reads "team key" lines; '#' starts a comment.
std::vector<TeamKey> ReadKeys(const std::filesystem::path& path) {
  std::vector<TeamKey> keys;
  std::ifstream stream(path);
  for (std::string line; std::getline(stream, line);) {
    std::istringstream words(line);
    std::string team;
    std::string key;
    if (!line.starts_with('#') && words >> team >> key) {
      keys.push_back({TeamId(team), key});
    }
  }
  return keys;
}

}  // namespace

Result<void> WritePlan(const std::string& config, const std::string& work) {
  return Planner(config, std::filesystem::path(work)).Run();
}

Result<DemoPlan> ReadPlan(const std::string& work) {
  const std::filesystem::path folder(work);
  DemoPlan plan;
  BOOST_OUTCOME_TRY(files, ReadConfigFolder(folder / "config"));
  plan.config = LoadConfig(files).configuration;
  std::ifstream stream(folder / "plan.json");
  const json root = json::parse(stream, nullptr, false);
  if (!root.is_object()) {
    return Error(ErrorKind::kConfigInvalid, work + ": no plan");
  }
  plan.platform = {root["platform"]["host"], root["platform"]["port"]};
  for (const json& id : root["nodes"]) {
    BOOST_OUTCOME_TRY(settings,
                      NodeSettings::Load(folder / "nodes" /
                                         (id.get<std::string>() + ".json")));
    plan.nodes.push_back(std::move(settings));
  }
  plan.keys = ReadKeys(folder / kKeyFile);
  if (plan.keys.empty()) {
    return Error(ErrorKind::kConfigInvalid, work + ": no team keys");
  }
  return plan;
}

}  // namespace qh::demo
