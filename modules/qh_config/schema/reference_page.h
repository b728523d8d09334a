// The operators' configuration reference, generated from the schemas.

#ifndef QH_CONFIG_SCHEMA_REFERENCE_PAGE_H_
#define QH_CONFIG_SCHEMA_REFERENCE_PAGE_H_

#include <string>

namespace qh {

// Returns the page as Markdown.
std::string ReferencePage();

}  // namespace qh

#endif  // QH_CONFIG_SCHEMA_REFERENCE_PAGE_H_
