// One mistake found in configuration or settings files.

#ifndef QH_CONFIG_CONFIG_MISTAKE_H_
#define QH_CONFIG_CONFIG_MISTAKE_H_

#include <string>

namespace qh {

struct ConfigMistake {
  // Name of the file that defined the key.
  std::string file;
  // Path of the key, such as "teams.kitchen.weight". Empty if the mistake is
  // about the whole file.
  std::string key;
  std::string reason;

  // Returns "file: key: reason", or "file: reason" without a key.
  std::string ToString() const;

  friend auto operator<=>(const ConfigMistake&, const ConfigMistake&) = default;
};

}  // namespace qh

#endif  // QH_CONFIG_CONFIG_MISTAKE_H_
