#ifndef POMELOHALL_OPERATORS_TEXT_TABLE_H_
#define POMELOHALL_OPERATORS_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace pomelohall {

/// Formats rows of text in left-aligned columns, separated by two spaces.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header)
      : rows_{std::move(header)} {}

  /// @pre `row` has as many cells as the header.
  void Add(std::vector<std::string> row);

  /// Returns the table with one line per row.
  std::string Format() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_TEXT_TABLE_H_
