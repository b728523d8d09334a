// A quetzalhall-gateway process on loopback addresses, with a fake store and a
// plain backend server that run on a thread of the test. The process has little
// memory and few descriptors, so that few clients suffice to use them up.

#ifndef TESTS_UNTRUSTED_CLIENTS_GATEWAY_PROCESS_H_
#define TESTS_UNTRUSTED_CLIENTS_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <filesystem>
#include <string>
#include <thread>

#include "qh_core/address/address.h"
#include "tests/qh_gateway/fake_object_store.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {

// The listeners of a node.
enum class GatewayListener { kCallers, kReadiness, kLocate, kPeers, kMetrics };

class GatewayProcess {
 public:
  // Settings of the process, and the bounds that follow from them.
  static constexpr size_t kMemoryMb = 64;
  static constexpr size_t kMaxOpenFiles = 256;
  static constexpr size_t kMaxResidentKb = kMemoryMb << 10U;
  // An eighth stays free for what the process opens itself.
  static constexpr size_t kMaxDescriptors = kMaxOpenFiles / 8 * 7;
  // Limits of the configuration on callers.
  static constexpr size_t kMaxHeaderBytes = size_t{64} << 10U;
  static constexpr size_t kMaxBodyBytes = size_t{4} << 20U;
  // Body of the backend server's answer below /safe/large/.
  static constexpr size_t kLargeAnswerBytes = size_t{1} << 20U;

  // Starts the process and waits until it is ready. Throws if it isn't within
  // 20 s.
  GatewayProcess();
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  Address AddressOf(GatewayListener listener) const;

  // Whether the process has not ended.
  bool is_alive();
  // Most memory that the process has had resident, in KiB; zero in builds with
  // sanitizers, which need more.
  size_t PeakResidentKb() const;
  size_t OpenDescriptors() const;
  // Sends a request that `listener` serves on a connection of its own. Returns
  // the status, or zero if there is no answer within 10 s.
  int Ask(GatewayListener listener) const;
  // Requests that reached the backend server.
  size_t served_requests() const { return served_requests_; }

 private:
  void Launch();
  void WaitUntilReady();
  std::string SettingsText();

  std::string host_;
  std::filesystem::path folder_;
  boost::asio::io_context io_;
  FakeObjectStore store_{io_};
  std::atomic<size_t> served_requests_ = 0;
  ScriptedServer server_;
  std::thread thread_;
  pid_t pid_ = -1;
};

// Sends `request` to `address` on a connection of its own. Returns the bytes
// received until an answer with Content-Length or the connection has ended, or
// 10 s are over.
std::string SendAndReceive(const Address& address, const std::string& request);

// Returns the status of an answer, or zero if `received` begins with none.
int StatusOf(const std::string& received);

// Returns a connected, non-blocking socket with a small receive buffer, so that
// answers that are not read fill it soon; -1 if the connection is refused.
int ConnectTo(const Address& address);

}  // namespace qh

#endif  // TESTS_UNTRUSTED_CLIENTS_GATEWAY_PROCESS_H_
