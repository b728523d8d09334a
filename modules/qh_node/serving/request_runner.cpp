#include "qh_node/serving/request_runner.h"

#include "qh_node/serving/request_session.h"

namespace qh {

void RequestRunner::Run(RequestRecord& record) {
  RequestSession(deps_, record).Run();
}

}  // namespace qh
