// Checks a merged document against a schema and fills in the defaults.

#ifndef QH_CONFIG_LOADING_SCHEMA_CHECKER_H_
#define QH_CONFIG_LOADING_SCHEMA_CHECKER_H_

#include <string>
#include <vector>

#include "qh_config/config_loader.h"
#include "qh_config/loading/document.h"
#include "qh_config/schema/schema.h"

namespace qh {

// Checks one document once. The schema and the document must outlive the
// checker.
class SchemaChecker {
 public:
  SchemaChecker(const Schema& schema, Document& document, ConfigMode mode);

  // Checks the document and fills in the defaults. If there are no mistakes,
  // the document then has every key of the schema.
  void Check();

  const std::vector<ConfigMistake>& mistakes() const { return mistakes_; }
  // Paths of the keys that were ignored, or got their default, in tolerant
  // mode.
  const std::vector<std::string>& ignored_keys() const { return ignored_keys_; }

 private:
  using Json = nlohmann::json;

  // `pattern` is the path of the value's schema row: `path_` with '*' in place
  // of ids.
  void CheckObject(const std::string& pattern, Json& value);
  void CheckMap(const std::string& pattern, Json& value);
  void CheckValue(const SchemaRow& row, Json& value);
  void CheckPresence(const SchemaRow& row,
                     const std::string& name,
                     Json& parent);
  void CheckUnknown(const std::string& pattern, const Json& value);
  void CheckNumber(const SchemaRow& row, const Json& value);
  void CheckChoice(const SchemaRow& row, Json& value);
  void CheckString(const SchemaRow& row, const Json& value);
  // Adds a mistake at `path_`.
  void Report(const std::string& reason);

  const Schema& schema_;
  Document& document_;
  const ConfigMode mode_;
  // Path of the value being checked.
  KeyPath path_;
  std::vector<ConfigMistake> mistakes_;
  std::vector<std::string> ignored_keys_;
};

}  // namespace qh

#endif  // QH_CONFIG_LOADING_SCHEMA_CHECKER_H_
