// Converts a checked document, with its defaults filled in, to typed values.

#ifndef QH_CONFIG_LOADING_CONFIG_PARSER_H_
#define QH_CONFIG_LOADING_CONFIG_PARSER_H_

#include <nlohmann/json_fwd.hpp>

#include "qh_config/configuration.h"

namespace qh {

// Returns the configuration in `root`, which must have passed SchemaChecker
// without mistakes. Throws json::exception if a key is missing or has a wrong
// type.
Configuration ParseConfiguration(const nlohmann::json& root);

}  // namespace qh

#endif  // QH_CONFIG_LOADING_CONFIG_PARSER_H_
