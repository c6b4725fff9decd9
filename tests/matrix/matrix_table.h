#ifndef POMELOHALL_TESTS_MATRIX_MATRIX_TABLE_H_
#define POMELOHALL_TESTS_MATRIX_MATRIX_TABLE_H_

#include <cstddef>
#include <map>
#include <ostream>
#include <utility>
#include <vector>

#include "matrix/matrix.h"

namespace pomelohall::matrix {

/// Counts of cells per promise and fault.
class matrix_table {
 public:
  /// Adds the outcome of a cell. Returns whether a checked promise is broken.
  bool Add(const cell& run, const std::vector<violation>& violations);

  /// Prints promise by fault: cells run, and cells failed if any. A cell with
  /// two faults counts in the columns of both.
  void Print(std::ostream& out) const;

 private:
  struct counts {
    std::size_t run = 0;
    std::size_t failed = 0;
  };

  std::map<std::pair<fault, promise>, counts> counts_;
};

}  // namespace pomelohall::matrix

#endif  // POMELOHALL_TESTS_MATRIX_MATRIX_TABLE_H_
