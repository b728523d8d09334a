#include "qh_http_platform/http_platform.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

namespace qh {
namespace {

using nlohmann::json;

constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kCallTimeout = std::chrono::milliseconds(2'000);
constexpr const char* kBinaryType = "application/octet-stream";

httplib::Client MakeClient(const std::string& host,
                           uint16_t port,
                           Duration extra_timeout) {
  httplib::Client client(host, port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(std::chrono::duration_cast<std::chrono::microseconds>(
      kCallTimeout + extra_timeout));
  return client;
}

// A call that never reached the store changed nothing. After any other failure
// it is unknown whether a write took effect.
StoreStatus StatusOf(const httplib::Result& result, bool is_write) {
  if (!result) {
    if (result.error() == httplib::Error::Connection ||
        result.error() == httplib::Error::ConnectionTimeout) {
      return StoreStatus::kUnavailable;
    }
    return is_write ? StoreStatus::kAmbiguous : StoreStatus::kUnavailable;
  }
  switch (result->status) {
    case 200:
      return StoreStatus::kOk;
    case 404:
      return StoreStatus::kNotFound;
    case 412:
      return StoreStatus::kConflict;
    case 429:
      return StoreStatus::kThrottled;
    case 503:
      return StoreStatus::kUnavailable;
    default:
      return is_write ? StoreStatus::kAmbiguous : StoreStatus::kUnavailable;
  }
}

uint64_t VersionOf(const httplib::Response& response) {
  const std::string tag = response.get_header_value("ETag");
  return std::strtoull(tag.c_str() + (tag.starts_with('"') ? 1 : 0), nullptr,
                       10);
}

httplib::Headers ConditionOf(const StoreRequest& request) {
  if (!request.expected_version) {
    return {};
  }
  if (*request.expected_version == kAbsentVersion) {
    return {{"If-None-Match", "*"}};
  }
  return {
      {"If-Match", "\"" + std::to_string(*request.expected_version) + "\""}};
}

// Decodes an object's body from a list. Lists are JSON, and the bodies are in
// hexadecimal because they need not be UTF-8.
std::string FromHex(const std::string& text) {
  std::string bytes;
  for (size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

void ParseObjects(const std::string& body, StoreReply& reply) {
  const json root = json::parse(body, nullptr, false);
  if (!root.is_object() || !root.contains("objects")) {
    reply.status = StoreStatus::kUnavailable;
    return;
  }
  reply.revision = root.value("revision", uint64_t{0});
  for (const json& object : root["objects"]) {
    reply.objects.push_back({object.value("key", ""),
                             FromHex(object.value("body", "")),
                             object.value("version", uint64_t{0})});
  }
}

}  // namespace

std::shared_ptr<HttpPlatform> HttpPlatform::Create(std::string host,
                                                   uint16_t port) {
  return std::shared_ptr<HttpPlatform>(new HttpPlatform(std::move(host), port));
}

HttpPlatform::HttpPlatform(std::string host, uint16_t port)
    : host_(std::move(host)), port_(port) {}

StoreReply HttpPlatform::Call(const StoreRequest& request) const {
  auto client = MakeClient(host_, port_, request.wait);
  const std::string path = "/v1/objects/" + request.key;
  StoreReply reply;
  reply.object.key = request.key;
  switch (request.op) {
    case StoreOp::kGet: {
      const auto result = client.Get(path);
      reply.status = StatusOf(result, false);
      if (result) {
        reply.object.body = result->body;
        reply.object.version = VersionOf(result.value());
      }
      return reply;
    }
    case StoreOp::kPut: {
      const auto result =
          client.Put(path, ConditionOf(request), request.body, kBinaryType);
      reply.status = StatusOf(result, true);
      if (result) {
        reply.object.version = VersionOf(result.value());
      }
      return reply;
    }
    case StoreOp::kDelete: {
      const auto result = client.Delete(path, ConditionOf(request));
      reply.status = StatusOf(result, true);
      return reply;
    }
    case StoreOp::kList:
    case StoreOp::kWatch: {
      httplib::Params params = {{"prefix", request.key}};
      if (request.op == StoreOp::kWatch) {
        const auto wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
        params.emplace("since", std::to_string(request.since));
        params.emplace("wait_ms", std::to_string(wait.count()));
      }
      const auto result =
          client.Get(request.op == StoreOp::kList ? "/v1/objects" : "/v1/watch",
                     params, httplib::Headers());
      reply.status = StatusOf(result, false);
      if (reply.status == StoreStatus::kOk) {
        ParseObjects(result->body, reply);
      }
      return reply;
    }
  }
  return reply;
}

Result<std::vector<ListedInstance>> HttpPlatform::Instances() const {
  auto client = MakeClient(host_, port_, Duration::zero());
  const auto result = client.Get("/v1/instances");
  if (!result || result->status != 200) {
    return Error(ErrorKind::kStoreUnavailable, "instance list does not answer");
  }
  const json root = json::parse(result->body, nullptr, false);
  if (!root.is_array()) {
    return Error(ErrorKind::kStoreUnavailable, "instance list is malformed");
  }
  std::vector<ListedInstance> instances;
  for (const json& row : root) {
    ListedInstance instance;
    instance.id = row.value("id", "");
    instance.role = row.value("role", "");
    instance.failure_domain = FailureDomainId(row.value("failure_domain", ""));
    instance.host = row.value("host", "");
    instance.port = row.value("port", uint16_t{0});
    instance.peer_port = row.value("peer_port", uint16_t{0});
    instance.admin_port = row.value("admin_port", uint16_t{0});
    instance.state = FromName<InstanceState>(row.value("state", ""))
                         .value_or(InstanceState::kLive);
    instance.notice_s = row.value("notice_s", 0.0);
    instances.push_back(std::move(instance));
  }
  return instances;
}

}  // namespace qh
