// Tells whether a peer ended a connection in order, after all that it had sent.
// A read alone can't tell: the system reports the error of a connection once,
// and if a pending write takes the report, the read that follows looks like an
// orderly end.

#ifndef QH_NET_CONNECTION_END_H_
#define QH_NET_CONNECTION_END_H_

#include <boost/system/error_code.hpp>

namespace qh {

// One for each connection.
class ConnectionEnd {
 public:
  // A write has failed with `error`.
  void OnWriteFailed(const boost::system::error_code& error);

  // Whether the peer has ended its side in order, given that a read failed with
  // `error`.
  bool IsOrderly(const boost::system::error_code& error) const;

 private:
  // A write has reported that the connection broke before the peer's end.
  bool broken_ = false;
};

}  // namespace qh

#endif  // QH_NET_CONNECTION_END_H_
