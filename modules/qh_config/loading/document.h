// Merges JSON files, in which comments are allowed, into one document and
// records which file defined each key.

#ifndef QH_CONFIG_LOADING_DOCUMENT_H_
#define QH_CONFIG_LOADING_DOCUMENT_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "qh_config/config_mistake.h"

namespace qh {

// Names of the keys from the root to a value, the value's own key last.
using KeyPath = std::vector<std::string>;

// Returns the names joined by '.'.
std::string ToText(const KeyPath& path);

// The merged contents of several JSON files.
class Document {
 public:
  // Parses `text` and merges it into the document: objects key by key; any
  // other value replaces the earlier one. Of a file with a syntax error, the
  // part before the error is merged; a file that is not UTF-8 is not merged.
  void Merge(const std::string& file, const std::string& text);

  // The merged value; always an object.
  nlohmann::json& root() { return root_; }
  const nlohmann::json& root() const { return root_; }

  // Encoding and syntax errors, and keys that appear twice in one object.
  const std::vector<ConfigMistake>& mistakes() const { return mistakes_; }

  // Returns the file that last defined `path` or, if none did, its nearest
  // parent.
  std::string FileOf(KeyPath path) const;

  // Returns whether a file that could not be parsed contains the string `name`.
  // If so, `name` must not be reported as missing.
  bool MayDefine(const std::string& name) const;

  // Returns whether a syntax error truncated the object at `path`, so that its
  // last keys are not known.
  bool IsTruncated(const KeyPath& path) const;

 private:
  void MergeValue(const std::string& file,
                  const nlohmann::json& from,
                  nlohmann::json& to,
                  KeyPath& path);

  nlohmann::json root_ = nlohmann::json::object();
  std::map<KeyPath, std::string> files_;
  std::vector<ConfigMistake> mistakes_;
  // Texts of the files that could not be parsed to their end.
  std::vector<std::string> unparsed_texts_;
  // For each of these files, the path at which parsing stopped.
  std::vector<KeyPath> error_paths_;
};

}  // namespace qh

#endif  // QH_CONFIG_LOADING_DOCUMENT_H_
