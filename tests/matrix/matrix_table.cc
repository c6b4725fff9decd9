#include "matrix/matrix_table.h"

#include <algorithm>
#include <iomanip>
#include <string>

namespace pomelohall::matrix {
namespace {

constexpr int kNameWidth = 20;
constexpr int kColumnWidth = 15;

// The faults are the rows, so that the table fits a terminal.
constexpr std::size_t kGuaranteeCount = 9;
constexpr std::size_t kFaultCount = 16;

bool IsViolated(guarantee which, const std::vector<violation>& violations) {
  return std::any_of(violations.begin(), violations.end(),
                     [&](const auto& item) { return item.which == which; });
}

}  // namespace

bool matrix_table::Add(const cell& run,
                       const std::vector<violation>& violations) {
  // Also counts violations of guarantees that the cell does not list.
  std::vector<guarantee> guarantees = run.checked;
  for (const auto& item : violations) {
    if (std::find(guarantees.begin(), guarantees.end(), item.which) ==
        guarantees.end()) {
      guarantees.push_back(item.which);
    }
  }
  for (const guarantee which : guarantees) {
    const bool violated = IsViolated(which, violations);
    const auto count = [&](fault row) {
      counts& cell_counts = counts_[{row, which}];
      ++cell_counts.run;
      if (violated) ++cell_counts.failed;
    };
    count(run.faults.first);
    if (run.faults.second != fault::kNone &&
        run.faults.second != run.faults.first) {
      count(run.faults.second);
    }
  }
  return !violations.empty();
}

void matrix_table::Print(std::ostream& out) const {
  out << std::left << std::setw(kNameWidth) << "fault \\ guarantee";
  for (std::size_t column = 0; column < kGuaranteeCount; ++column) {
    out << std::setw(kColumnWidth)
        << GuaranteeName(static_cast<guarantee>(column));
  }
  out << "\n";
  for (std::size_t row = 0; row < kFaultCount; ++row) {
    out << std::setw(kNameWidth) << FaultName(static_cast<fault>(row));
    for (std::size_t column = 0; column < kGuaranteeCount; ++column) {
      const auto found = counts_.find(
          {static_cast<fault>(row), static_cast<guarantee>(column)});
      std::string text = "not covered";
      if (found != counts_.end()) {
        text = std::to_string(found->second.run);
        if (found->second.failed > 0) {
          text += " (" + std::to_string(found->second.failed) + " failed)";
        }
      }
      out << std::setw(kColumnWidth) << text;
    }
    out << "\n";
  }
}

}  // namespace pomelohall::matrix
