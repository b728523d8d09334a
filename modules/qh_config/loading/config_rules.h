// Checks of the configuration folder that involve more than one key: names,
// addresses and team keys that must be unique across sections.

#ifndef QH_CONFIG_LOADING_CONFIG_RULES_H_
#define QH_CONFIG_LOADING_CONFIG_RULES_H_

#include <vector>

#include "qh_config/config_mistake.h"
#include "qh_config/loading/document.h"

namespace qh {

// Returns the mistakes of `document`. Values of wrong types, which
// SchemaChecker reports, are accepted and skipped where they can't be compared.
std::vector<ConfigMistake> CheckConfigRules(const Document& document);

}  // namespace qh

#endif  // QH_CONFIG_LOADING_CONFIG_RULES_H_
