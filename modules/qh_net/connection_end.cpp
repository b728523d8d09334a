#include "qh_net/connection_end.h"

#include <boost/asio/error.hpp>

namespace qh {

void ConnectionEnd::OnWriteFailed(const boost::system::error_code& error) {
  // A reset that comes after the peer's orderly end is reported as a broken
  // pipe, and any other one as a reset.
  broken_ = broken_ || error != boost::asio::error::broken_pipe;
}

bool ConnectionEnd::IsOrderly(const boost::system::error_code& error) const {
  return error == boost::asio::error::eof && !broken_;
}

}  // namespace qh
