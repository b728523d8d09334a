#include "qh_config/config_mistake.h"

namespace qh {

std::string ConfigMistake::ToString() const {
  return file + ": " + (key.empty() ? "" : key + ": ") + reason;
}

}  // namespace qh
