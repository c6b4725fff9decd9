#ifndef POMELOHALL_TESTS_MATRIX_MATRIX_TABLE_H_
#define POMELOHALL_TESTS_MATRIX_MATRIX_TABLE_H_

#include <cstddef>
#include <map>
#include <ostream>
#include <utility>
#include <vector>

#include "matrix/matrix.h"

namespace pomelohall::matrix {

/// Numbers of cells run and failed per guarantee and fault.
class matrix_table {
 public:
  /// Adds the result of a cell. Returns whether there are violations.
  bool Add(const cell& run, const std::vector<violation>& violations);

  /// Prints the number of cells run, and of those failed if any, per fault and
  /// guarantee. A cell with two faults counts in the rows of both.
  void Print(std::ostream& out) const;

 private:
  struct counts {
    std::size_t run = 0;
    std::size_t failed = 0;
  };

  std::map<std::pair<fault, guarantee>, counts> counts_;
};

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_MATRIX_TABLE_H_
