// An HTTP/2 connection: a connected socket, an Http2Session and the thread that
// transfers bytes between them.

#ifndef QH_PEER_HTTP2_CONNECTION_H_
#define QH_PEER_HTTP2_CONNECTION_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "qh_peer/http2_session.h"

namespace qh {

// Thread safe.
class Http2Connection {
 public:
  // Runs on the connection's thread, the only one that accesses the session.
  using Task = std::function<void(Http2Session&)>;

  // Takes ownership of the connected non-blocking `socket` and starts the
  // thread. Both callbacks run on that thread; `on_closed` is the last one.
  Http2Connection(int socket,
                  Http2Role role,
                  Http2Session::OnMessage on_message,
                  std::function<void()> on_closed);
  // Joins the thread and closes the socket. Must not run on that thread.
  ~Http2Connection();

  // Queues `task` for the connection's thread. Returns false, and drops the
  // task, when the connection is closed. Tasks still queued when it closes are
  // dropped as well.
  bool Post(Task task);

  // Returns whether the connection ended, by either side or by an error.
  bool is_closed() const { return closed_; }

 private:
  void Run();
  // Returns false when the thread must stop.
  bool RunTasks();
  // Return false when the connection failed or was closed.
  bool Write();
  bool Read();
  void Wake() const;

  const int socket_;
  // An eventfd that becomes readable when a task is queued or the thread must
  // stop.
  const int wake_event_;
  std::function<void()> on_closed_;
  // Both used by the connection's thread only.
  Http2Session session_;
  // Bytes of the session that are not sent yet.
  std::string output_;

  std::mutex mutex_;
  // Both guarded by mutex_.
  std::vector<Task> tasks_;
  bool stopping_ = false;
  std::atomic<bool> closed_ = false;
  std::thread thread_;
};

}  // namespace qh

#endif  // QH_PEER_HTTP2_CONNECTION_H_
