#include "qh_http_platform/connection_pool.h"

#include <httplib.h>

namespace qh {
namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr size_t kMaxIdleConnections = 16;

}  // namespace

ConnectionPool::ConnectionPool(std::string host, uint16_t port)
    : host_(std::move(host)), port_(port) {}

ConnectionPool::~ConnectionPool() = default;

httplib::Result ConnectionPool::Call(
    Duration read_timeout,
    const std::function<httplib::Result(httplib::Client&)>& call) {
  std::unique_ptr<httplib::Client> client = Acquire();
  client->set_read_timeout(read_timeout);
  httplib::Result result = call(*client);
  if (result) {
    const std::lock_guard lock(mutex_);
    if (idle_.size() < kMaxIdleConnections) {
      idle_.push_back(std::move(client));
    }
  }
  return result;
}

std::unique_ptr<httplib::Client> ConnectionPool::Acquire() {
  {
    const std::lock_guard lock(mutex_);
    if (!idle_.empty()) {
      auto client = std::move(idle_.back());
      idle_.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>(host_, port_);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(kConnectTimeout);
  return client;
}

}  // namespace qh
