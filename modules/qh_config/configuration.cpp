#include "qh_config/configuration.h"

#include <openssl/evp.h>

#include <array>

namespace qh {

const ModelPool* Configuration::PoolForModel(const std::string& model) const {
  for (const ModelPool& pool : model_pools) {
    for (const Model& candidate : pool.models) {
      if (candidate.name == model) {
        return &pool;
      }
    }
  }
  return nullptr;
}

const Route* Configuration::FindRoute(const RouteId& id) const {
  for (const Route& route : routes) {
    if (route.id == id) {
      return &route;
    }
  }
  return nullptr;
}

const Team* Configuration::TeamForKey(const std::string& key_sha256) const {
  for (const Team& team : teams) {
    for (const std::string& known : team.key_sha256) {
      if (known == key_sha256) {
        return &team;
      }
    }
  }
  return nullptr;
}

bool Configuration::IsNonIdempotent(const RouteId& route,
                                    const std::string& method,
                                    const std::string& path) const {
  for (const NonIdempotentRule& rule : non_idempotent) {
    if (rule.route == route && rule.method == method &&
        path.starts_with(rule.path_prefix)) {
      return true;
    }
  }
  return false;
}

std::string KeySha256(const std::string& key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < size; ++i) {
    text += kDigits[digest[i] >> 4];
    text += kDigits[digest[i] & 15];
  }
  return text;
}

}  // namespace qh
