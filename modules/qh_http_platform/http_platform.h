// HTTP client of the platform's object store and instance list. The URLs and
// field names of these two are used only in its source file.

#ifndef QH_HTTP_PLATFORM_HTTP_PLATFORM_H_
#define QH_HTTP_PLATFORM_HTTP_PLATFORM_H_

#include <memory>
#include <string>
#include <vector>

#include "qh_platform/cloud/instance_list.h"
#include "qh_platform/store/object_store.h"

namespace qh {

// Thread safe; each call opens its own connection.
class HttpPlatform {
 public:
  // Creates a client of the platform at `host`:`port`. No call is made.
  static std::shared_ptr<HttpPlatform> Create(std::string host, uint16_t port);

  // Sends one store request and waits for the reply. Connecting may take 500 ms
  // and the answer two seconds, for kWatch plus `request.wait`.
  StoreReply Call(const StoreRequest& request) const;

  // Reads the platform's instance list, which may be seconds out of date. Fails
  // with kStoreUnavailable.
  Result<std::vector<ListedInstance>> Instances() const;

 private:
  HttpPlatform(std::string host, uint16_t port);

  std::string host_;
  uint16_t port_;
};

}  // namespace qh

#endif  // QH_HTTP_PLATFORM_HTTP_PLATFORM_H_
