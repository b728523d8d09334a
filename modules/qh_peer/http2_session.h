// The protocol state of one side of an HTTP/2 connection between gateway nodes,
// based on nghttp2: takes received bytes, returns whole messages and the bytes
// to send. Has neither a socket nor a thread.

#ifndef QH_PEER_HTTP2_SESSION_H_
#define QH_PEER_HTTP2_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "qh_core/errors/result.h"

namespace qh {

enum class Http2Role { kClient, kServer };

// A request as a server sees it, or a reply as a client sees it.
struct Http2Message {
  // HTTP/2 stream id.
  int32_t stream = 0;
  // Requests only.
  std::string path;
  std::string authorization;
  // Replies only: the HTTP status, or zero when the stream ended before the
  // reply was complete.
  int status = 0;
  std::string body;
};

// Not thread safe.
class Http2Session {
 public:
  // Receives each complete message. On the client side it is called exactly
  // once for each stream that closes.
  using OnMessage = std::function<void(Http2Message)>;

  // The new session has its connection preface ready to send.
  Http2Session(Http2Role role, OnMessage on_message);
  ~Http2Session();

  // Processes bytes received from the connection. Fails with kPeerMalformed on
  // a protocol error; the connection must then be closed.
  Result<void> Feed(std::string_view bytes);

  // Appends all bytes that are ready to be sent to `output`.
  void TakeOutput(std::string& output);

  // Starts a request and returns its stream id, or a negative number when the
  // session accepts no more requests.
  int32_t SubmitRequest(const std::string& path,
                        const std::string& authorization,
                        std::string body);

  // Sends the reply to the request on `stream`. Dropped when the stream is
  // closed.
  void SubmitReply(int32_t stream, int status, std::string body);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace qh

#endif  // QH_PEER_HTTP2_SESSION_H_
