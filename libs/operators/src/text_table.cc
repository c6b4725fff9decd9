#include "operators/text_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pomelohall {

void text_table::Add(std::vector<std::string> row) {
  assert(row.size() == rows_.front().size());
  rows_.push_back(std::move(row));
}

std::string text_table::Format() const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      text += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += row.back() + "\n";
  }
  return text;
}

}  // namespace pomelohall
