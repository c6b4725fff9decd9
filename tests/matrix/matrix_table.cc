#include "matrix/matrix_table.h"

#include <algorithm>
#include <iomanip>
#include <string>

namespace pomelohall::matrix {
namespace {

constexpr int kNameWidth = 20;
constexpr int kColumnWidth = 15;

// Rows are the faults, so that nine columns fit a terminal.
constexpr std::size_t kPromises = 9;
constexpr std::size_t kFaults = 16;

bool Broken(promise which, const std::vector<violation>& violations) {
  return std::any_of(violations.begin(), violations.end(),
                     [&](const auto& item) { return item.which == which; });
}

}  // namespace

bool matrix_table::Add(const cell& run,
                       const std::vector<violation>& violations) {
  // A violation of a promise that the cell does not list counts as well.
  std::vector<promise> promises = run.checked;
  for (const auto& item : violations) {
    if (std::find(promises.begin(), promises.end(), item.which) ==
        promises.end()) {
      promises.push_back(item.which);
    }
  }
  for (const promise which : promises) {
    const bool broken = Broken(which, violations);
    const auto count = [&](fault column) {
      counts& cell_counts = counts_[{column, which}];
      ++cell_counts.run;
      if (broken) ++cell_counts.failed;
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
  out << std::left << std::setw(kNameWidth) << "fault \\ promise";
  for (std::size_t p = 0; p < kPromises; ++p) {
    out << std::setw(kColumnWidth) << PromiseName(static_cast<promise>(p));
  }
  out << "\n";
  for (std::size_t f = 0; f < kFaults; ++f) {
    out << std::setw(kNameWidth) << FaultName(static_cast<fault>(f));
    for (std::size_t p = 0; p < kPromises; ++p) {
      const auto found =
          counts_.find({static_cast<fault>(f), static_cast<promise>(p)});
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
