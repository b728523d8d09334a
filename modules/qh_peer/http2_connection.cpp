#include "qh_peer/http2_connection.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace qh {
namespace {

constexpr size_t kReadBytes = 64 << 10;

// Returns whether the last socket call failed only for the moment.
bool IsTransientError() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

Http2Connection::Http2Connection(int socket,
                                 Http2Role role,
                                 Http2Session::OnMessage on_message,
                                 std::function<void()> on_closed)
    : socket_(socket),
      wake_event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      on_closed_(std::move(on_closed)),
      session_(role, std::move(on_message)),
      thread_([this] { Run(); }) {}

Http2Connection::~Http2Connection() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  Wake();
  thread_.join();
  close(wake_event_);
  close(socket_);
}

bool Http2Connection::Post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    if (closed_) {
      return false;
    }
    tasks_.push_back(std::move(task));
  }
  Wake();
  return true;
}

void Http2Connection::Wake() const {
  const uint64_t one = 1;
  // A write of eight bytes to an eventfd is never short, and the counter cannot
  // overflow in practice.
  [[maybe_unused]] const auto written = write(wake_event_, &one, sizeof(one));
}

void Http2Connection::Run() {
  while (RunTasks() && Write()) {
    const short out = output_.empty() ? 0 : POLLOUT;
    std::array<pollfd, 2> fds = {
        pollfd{socket_, static_cast<short>(POLLIN | out), 0},
        pollfd{wake_event_, POLLIN, 0}};
    if (poll(fds.data(), fds.size(), -1) < 0 && errno != EINTR) {
      break;
    }
    if (fds[1].revents != 0) {
      uint64_t count = 0;
      [[maybe_unused]] const auto bytes_read =
          read(wake_event_, &count, sizeof(count));
    }
    if ((fds[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0 && !Read()) {
      break;
    }
  }
  std::vector<Task> unrun;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    unrun.swap(tasks_);
  }
  // Every posted task runs, so that on_closed_ ends also the calls that were
  // posted last.
  for (const Task& task : unrun) {
    task(session_);
  }
  shutdown(socket_, SHUT_RDWR);
  on_closed_();
}

bool Http2Connection::RunTasks() {
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return false;
    }
    tasks.swap(tasks_);
  }
  for (const Task& task : tasks) {
    task(session_);
  }
  return true;
}

bool Http2Connection::Write() {
  session_.TakeOutput(output_);
  while (!output_.empty()) {
    const ssize_t sent =
        send(socket_, output_.data(), output_.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      return IsTransientError();
    }
    output_.erase(0, static_cast<size_t>(sent));
  }
  return true;
}

bool Http2Connection::Read() {
  std::array<char, kReadBytes> buffer{};
  const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
  if (size < 0) {
    return IsTransientError();
  }
  if (size == 0) {
    return false;
  }
  return session_.Feed({buffer.data(), static_cast<size_t>(size)}).has_value();
}

}  // namespace qh
