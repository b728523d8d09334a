#include "qh_config/schema/reference_page.h"

#include <sstream>

#include "qh_config/schema/schema.h"

namespace qh {
namespace {

constexpr const char* kIntroduction =
    R"(# Configuration reference

Made by `quetzalhall reference`; don't edit it by hand.

## How files are merged

- A configuration is a folder. Every `*.json` file in it counts; others don't.
  Comments (`//` and `/* */`) are allowed.
- Files are merged in the order of their names. Objects merge key by key, so
  two files may each define a part of the same id. For any other value, lists
  included, the later file wins.
- The same key twice in one object is a mistake. So are one server id, one
  server address, one model or one team key in two places.
- A file holds at most 1 MiB.
- `quetzalhall check` reports every mistake of the folder in one run, as
  `file: key: reason`, and ends with exit code 2. Nothing is applied then.
- Nodes tolerate keys that they don't know: an older node ignores what a newer
  schema added, and the key stays in the stored file.

An `*` in a key stands for an id that operators choose.
)";

std::string AcceptedValues(const SchemaRow& row) {
  std::ostringstream text;
  text.precision(15);
  if (row.type == ValueType::kInteger || row.type == ValueType::kNumber) {
    text << row.min << " to " << row.max;
  }
  for (const std::string& choice : row.choices) {
    text << (text.tellp() > 0 ? ", " : "") << "`" << choice << "`";
  }
  if (!row.reference.empty()) {
    text << "an id of `" << row.reference << "`";
  }
  return text.str();
}

std::string DefaultText(const SchemaRow& row) {
  if (row.required) {
    return "required";
  }
  return row.default_value.empty() ? "" : "`" + row.default_value + "`";
}

void WriteTable(const Schema& schema, std::ostringstream& page) {
  page << "\n| key | type | accepted | default | meaning |\n"
       << "|---|---|---|---|---|\n";
  for (const SchemaRow& row : schema) {
    page << "| `" << row.path << "` | " << ToName(row.type) << " | "
         << AcceptedValues(row) << " | " << DefaultText(row) << " | " << row.doc
         << " |\n";
  }
}

}  // namespace

std::string ReferencePage() {
  std::ostringstream page;
  page << kIntroduction << "\n## Configuration folder\n";
  WriteTable(ConfigSchema(), page);
  page << "\n## Node settings\n\n"
       << "The file given to `quetzalhalld --config`. The same checks hold.\n";
  WriteTable(NodeSettingsSchema(), page);
  return page.str();
}

}  // namespace qh
