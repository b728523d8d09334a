// The platform over HTTP: object API and instance list. The only file that
// knows the platform's URLs and field names.

#ifndef QH_HTTP_PLATFORM_HTTP_PLATFORM_H_
#define QH_HTTP_PLATFORM_HTTP_PLATFORM_H_

#include <memory>
#include <string>
#include <vector>

#include "qh_platform/cloud/instance_list.h"
#include "qh_platform/store/object_store.h"

namespace qh {

// Thread safe; each call uses a connection of its own.
class HttpPlatform {
 public:
  // Creates a client of the platform at `host`:`port`. No call is made.
  static std::shared_ptr<HttpPlatform> Create(std::string host, uint16_t port);

  // Carries one store request. Bounded by `call_timeout`, for kWatch by
  // `request.wait` on top.
  StoreReply Call(const StoreRequest& request) const;

  // Reads the lagging list. Fails with kStoreUnavailable.
  Result<std::vector<ListedInstance>> Instances() const;

 private:
  HttpPlatform(std::string host, uint16_t port);

  std::string host_;
  uint16_t port_;
};

}  // namespace qh

#endif  // QH_HTTP_PLATFORM_HTTP_PLATFORM_H_
