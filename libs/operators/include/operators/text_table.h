#ifndef POMELOHALL_OPERATORS_TEXT_TABLE_H_
#define POMELOHALL_OPERATORS_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace pomelohall {

/// Rows of text with aligned columns, two spaces apart.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header)
      : rows_{std::move(header)} {}

  /// @pre `row` has as many cells as the header.
  void Add(std::vector<std::string> row);

  /// Returns the table, a line for each row.
  std::string Format() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_TEXT_TABLE_H_
