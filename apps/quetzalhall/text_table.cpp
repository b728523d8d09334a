#include "apps/quetzalhall/text_table.h"

#include <algorithm>
#include <cassert>

namespace qh::cli {
namespace {

constexpr size_t kGap = 2;

}  // namespace

TextTable::TextTable(std::vector<std::string> heads) {
  rows_.push_back(std::move(heads));
}

void TextTable::Add(std::vector<std::string> cells) {
  assert(cells.size() == rows_[0].size());
  rows_.push_back(std::move(cells));
}

std::string TextTable::ToString() const {
  std::vector<size_t> widths(rows_[0].size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size() + kGap);
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    for (size_t i = 0; i + 1 < row.size(); ++i) {
      text += row[i] + std::string(widths[i] - row[i].size(), ' ');
    }
    text += row.back() + "\n";
  }
  return text;
}

}  // namespace qh::cli
