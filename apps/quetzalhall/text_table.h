// A table of left-aligned columns for the terminal.

#ifndef APPS_QUETZALHALL_TEXT_TABLE_H_
#define APPS_QUETZALHALL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace qh::cli {

class TextTable {
 public:
  explicit TextTable(std::vector<std::string> heads);

  // Adds a row with as many cells as there are heads.
  void Add(std::vector<std::string> cells);

  // Returns the table, a line for each row.
  std::string ToString() const;

 private:
  // The heads are the first row; all rows are of the same length.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace qh::cli

#endif  // APPS_QUETZALHALL_TEXT_TABLE_H_
