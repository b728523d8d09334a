#include "qh_peer/http2_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <map>

namespace qh {
namespace {

// Flow-control window of streams and of the connection. Large enough that a
// handover record needs no window update.
constexpr int32_t kWindowBytes = 16 << 20;
constexpr uint32_t kMaxStreams = 1'000;
// A stream with a larger received body is reset.
constexpr size_t kMaxBodyBytes = 8 << 20;
constexpr std::string_view kStatusField = ":status";
constexpr std::string_view kPathField = ":path";
constexpr std::string_view kAuthorizationField = "authorization";

// Returns a header field that refers to `name` and `value`.
nghttp2_nv MakeHeaderField(std::string_view name, std::string_view value) {
  // nghttp2 copies names and values with NGHTTP2_NV_FLAG_NONE and does not
  // modify them, so the const_cast is safe.
  auto* name_bytes = reinterpret_cast<uint8_t*>(const_cast<char*>(name.data()));
  auto* value_bytes =
      reinterpret_cast<uint8_t*>(const_cast<char*>(value.data()));
  return {name_bytes, value_bytes, name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

// One open stream.
struct Stream {
  Http2Message message;
  // Body that this side sends.
  std::string output;
  // Bytes of `output` that nghttp2 has taken.
  size_t sent = 0;
  // Whether the peer's message has been received completely.
  bool complete = false;
};

}  // namespace

class Http2Session::Impl {
 public:
  Impl(Http2Role role, OnMessage on_message)
      : role_(role), on_message_(std::move(on_message)) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnClose);
    if (role == Http2Role::kClient) {
      nghttp2_session_client_new(&session_, callbacks, this);
    } else {
      nghttp2_session_server_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array settings = {
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               kWindowBytes},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                               kMaxStreams},
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          kWindowBytes);
  }

  ~Impl() { nghttp2_session_del(session_); }

  Result<void> Feed(std::string_view bytes) {
    const auto processed = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    if (processed < 0) {
      return Error(ErrorKind::kPeerMalformed,
                   nghttp2_strerror(static_cast<int>(processed)));
    }
    return Ok();
  }

  void TakeOutput(std::string& output) {
    for (;;) {
      const uint8_t* data = nullptr;
      const auto size = nghttp2_session_mem_send(session_, &data);
      if (size <= 0) {
        return;
      }
      output.append(reinterpret_cast<const char*>(data),
                    static_cast<size_t>(size));
    }
  }

  int32_t SubmitRequest(const std::string& path,
                        const std::string& authorization,
                        std::string body) {
    const std::array fields = {
        MakeHeaderField(":method", "POST"), MakeHeaderField(":scheme", "http"),
        MakeHeaderField(":authority", "peer"),
        MakeHeaderField(kPathField, path),
        MakeHeaderField(kAuthorizationField, authorization)};
    nghttp2_data_provider provider = BodyProvider();
    const int32_t id = nghttp2_submit_request(
        session_, nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (id >= 0) {
      Stream& stream = streams_[id];
      stream.message.stream = id;
      stream.output = std::move(body);
    }
    return id;
  }

  void SubmitReply(int32_t id, int status, std::string body) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
      return;
    }
    found->second.output = std::move(body);
    const std::string status_text = std::to_string(status);
    const std::array fields = {MakeHeaderField(kStatusField, status_text)};
    nghttp2_data_provider provider = BodyProvider();
    nghttp2_submit_response(session_, id, fields.data(), fields.size(),
                            &provider);
  }

 private:
  static Impl& Self(void* user) { return *static_cast<Impl*>(user); }

  // Returns the source of the body of a request or reply.
  nghttp2_data_provider BodyProvider() {
    nghttp2_data_provider provider{};
    provider.source.ptr = this;
    provider.read_callback = OnRead;
    return provider;
  }

  static ssize_t OnRead(nghttp2_session*,
                        int32_t id,
                        uint8_t* buffer,
                        size_t length,
                        uint32_t* flags,
                        nghttp2_data_source* source,
                        void*) {
    Impl& self = *static_cast<Impl*>(source->ptr);
    const auto found = self.streams_.find(id);
    if (found == self.streams_.end()) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Stream& stream = found->second;
    const size_t size = std::min(length, stream.output.size() - stream.sent);
    std::copy_n(stream.output.data() + stream.sent, size, buffer);
    stream.sent += size;
    if (stream.sent == stream.output.size()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(size);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user) {
    Impl& self = Self(user);
    const bool request = frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (self.role_ == Http2Role::kServer && request) {
      self.streams_[frame->hd.stream_id].message.stream = frame->hd.stream_id;
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name_bytes,
                      size_t name_size,
                      const uint8_t* value_bytes,
                      size_t value_size,
                      uint8_t,
                      void* user) {
    Impl& self = Self(user);
    const auto found = self.streams_.find(frame->hd.stream_id);
    if (found == self.streams_.end()) {
      return 0;
    }
    const std::string_view name(reinterpret_cast<const char*>(name_bytes),
                                name_size);
    const std::string value(reinterpret_cast<const char*>(value_bytes),
                            value_size);
    Http2Message& message = found->second.message;
    if (name == kPathField) {
      message.path = value;
    } else if (name == kAuthorizationField) {
      message.authorization = value;
    } else if (name == kStatusField) {
      message.status = std::atoi(value.c_str());
    }
    return 0;
  }

  static int OnData(nghttp2_session* session,
                    uint8_t,
                    int32_t id,
                    const uint8_t* data,
                    size_t size,
                    void* user) {
    Impl& self = Self(user);
    const auto found = self.streams_.find(id);
    if (found == self.streams_.end()) {
      return 0;
    }
    std::string& body = found->second.message.body;
    if (body.size() + size > kMaxBodyBytes) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                                NGHTTP2_ENHANCE_YOUR_CALM);
      return 0;
    }
    body.append(reinterpret_cast<const char*>(data), size);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Impl& self = Self(user);
    const bool carries_message =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    const bool last = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const auto found = self.streams_.find(frame->hd.stream_id);
    if (!carries_message || !last || found == self.streams_.end()) {
      return 0;
    }
    found->second.complete = true;
    if (self.role_ == Http2Role::kServer) {
      self.on_message_(std::move(found->second.message));
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, int32_t id, uint32_t, void* user) {
    Impl& self = Self(user);
    auto node = self.streams_.extract(id);
    if (!node.empty() && self.role_ == Http2Role::kClient) {
      Stream& stream = node.mapped();
      if (!stream.complete) {
        stream.message.status = 0;
      }
      self.on_message_(std::move(stream.message));
    }
    return 0;
  }

  const Http2Role role_;
  OnMessage on_message_;
  nghttp2_session* session_ = nullptr;
  // Open streams by id.
  std::map<int32_t, Stream> streams_;
};

Http2Session::Http2Session(Http2Role role, OnMessage on_message)
    : impl_(std::make_unique<Impl>(role, std::move(on_message))) {}

Http2Session::~Http2Session() = default;

Result<void> Http2Session::Feed(std::string_view bytes) {
  return impl_->Feed(bytes);
}

void Http2Session::TakeOutput(std::string& output) {
  impl_->TakeOutput(output);
}

int32_t Http2Session::SubmitRequest(const std::string& path,
                                    const std::string& authorization,
                                    std::string body) {
  return impl_->SubmitRequest(path, authorization, std::move(body));
}

void Http2Session::SubmitReply(int32_t stream, int status, std::string body) {
  impl_->SubmitReply(stream, status, std::move(body));
}

}  // namespace qh
