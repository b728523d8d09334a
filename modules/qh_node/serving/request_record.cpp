#include "qh_node/serving/request_record.h"

namespace qh {

RequestRecord::RequestRecord(RequestSpec spec, RequestPayload payload)
    : spec_(std::move(spec)), payload_(std::move(payload)) {}

RequestRecord::RequestRecord(RequestSpec spec,
                             RequestPayload payload,
                             std::vector<std::string> tokens,
                             RequestProgress progress)
    : spec_(std::move(spec)),
      payload_(std::move(payload)),
      peer_progress_(std::move(progress)),
      tokens_(std::move(tokens)) {}

bool RequestRecord::AddToken(std::string token) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock,
                [&] { return !frozen_ || state_ != RecordState::kRunning; });
  if (state_ != RecordState::kRunning) {
    return false;
  }
  tokens_.push_back(std::move(token));
  changed_.notify_all();
  return true;
}

std::optional<std::vector<std::string>> RequestRecord::Freeze() {
  const std::lock_guard lock(mutex_);
  if (state_ != RecordState::kRunning) {
    return std::nullopt;
  }
  frozen_ = true;
  return tokens_;
}

void RequestRecord::Unfreeze() {
  const std::lock_guard lock(mutex_);
  frozen_ = false;
  changed_.notify_all();
}

void RequestRecord::End(RecordState state) {
  state_ = state;
  changed_.notify_all();
}

void RequestRecord::Finish(CompleteAnswer answer) {
  const std::lock_guard lock(mutex_);
  if (state_ == RecordState::kRunning) {
    answer_ = std::move(answer);
    End(RecordState::kAnswered);
  }
}

void RequestRecord::Refuse(Error error) {
  const std::lock_guard lock(mutex_);
  if (state_ == RecordState::kRunning) {
    error_ = std::move(error);
    End(RecordState::kRefused);
  }
}

void RequestRecord::MarkHandedOver(std::string location) {
  const std::lock_guard lock(mutex_);
  if (state_ == RecordState::kRunning) {
    location_ = std::move(location);
    End(RecordState::kHandedOver);
  }
}

std::vector<std::string> RequestRecord::WaitTokens(size_t known,
                                                   Duration timeout) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, timeout, [&] {
    return tokens_.size() > known || state_ != RecordState::kRunning;
  });
  if (tokens_.size() <= known) {
    return {};
  }
  return {tokens_.begin() + static_cast<std::ptrdiff_t>(known), tokens_.end()};
}

void RequestRecord::WaitStarted() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] {
    return !tokens_.empty() || state_ != RecordState::kRunning;
  });
}

RecordState RequestRecord::WaitEnd() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return state_ != RecordState::kRunning; });
  return state_;
}

void RequestRecord::WaitEndFor(Duration timeout) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, timeout,
                    [&] { return state_ != RecordState::kRunning; });
}

RecordState RequestRecord::state() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

std::vector<std::string> RequestRecord::tokens() const {
  const std::lock_guard lock(mutex_);
  return tokens_;
}

CompleteAnswer RequestRecord::answer() const {
  const std::lock_guard lock(mutex_);
  return answer_;
}

Error RequestRecord::error() const {
  const std::lock_guard lock(mutex_);
  return error_;
}

std::string RequestRecord::location() const {
  const std::lock_guard lock(mutex_);
  return location_;
}

}  // namespace qh
